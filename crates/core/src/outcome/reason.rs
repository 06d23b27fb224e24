//! Reasons for refusals.

use std::fmt;

/// Why a request was refused before it was handed over.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[non_exhaustive]
pub enum Reason {
    /// No route matches its path.
    NoRoute,
    /// No endpoint of its service accepts new requests.
    NoEndpoint,
    /// The connection to the endpoint failed, so nothing was sent.
    Connect,
    /// The node or its target accepts no new requests because it is draining.
    Draining,
    /// The target has not started yet.
    Starting,
    /// The rate limit of the catalogue entry is exhausted.
    RateLimited,
    /// All slots are taken and the queue is full.
    QueueFull,
    /// A more urgent request took its place in the queue.
    Displaced,
    /// It waited in the queue for the longest time that is allowed.
    QueueTimeout,
    /// After its expected wait for a slot it would end after its deadline.
    DeadlineTooShort,
    /// Its deadline passed before it was handed over.
    DeadlinePassed,
    /// This node doesn't own the request's key.
    NotOwner,
    /// This node can't prove that its instance list is still valid.
    LeaseLapsed,
    /// This node has owned the request's key for too short a time.
    Settling,
    /// The window of request keys is full.
    WindowFull,
    /// An earlier attempt with the same key is still running.
    EarlierRunning,
    /// An earlier attempt with the same key may have run.
    EarlierUnknown,
    /// Its head is larger than the limit.
    HeadTooLarge,
    /// Its body is larger than the limit.
    TooLarge,
    /// Its key is empty or too long.
    BadKey,
    /// It has passed more nodes than the maximum.
    TooManyHops,
    /// This node holds no configuration yet.
    NoConfiguration,
    /// Its caller disconnected before the request was complete.
    CallerGone,
    /// The target received it and answered that it did not run it because of its load.
    TargetShed,
    /// The target received it and answered that the request names another generation.
    OtherGeneration,
    /// Requests with its content crash targets, so no target may run it.
    Quarantined,
    /// Operators have evacuated the failure domain of the target.
    Evacuated,
    /// The target is cold and tolerates no more requests at present.
    ColdStart,
    /// Its route may be served only in other regions.
    OutsideHomes,
    /// The target gets as many requests as the rate limit allows that it states.
    TargetLimited,
    /// The outgoing link of the target's instance can't deliver its large answer in time.
    LinkFull,
}

impl Reason {
    /// Every reason.
    pub const ALL: [Reason; 31] = [
        Reason::NoRoute,
        Reason::NoEndpoint,
        Reason::Connect,
        Reason::Draining,
        Reason::Starting,
        Reason::RateLimited,
        Reason::QueueFull,
        Reason::Displaced,
        Reason::QueueTimeout,
        Reason::DeadlineTooShort,
        Reason::DeadlinePassed,
        Reason::NotOwner,
        Reason::LeaseLapsed,
        Reason::Settling,
        Reason::WindowFull,
        Reason::EarlierRunning,
        Reason::EarlierUnknown,
        Reason::HeadTooLarge,
        Reason::TooLarge,
        Reason::BadKey,
        Reason::TooManyHops,
        Reason::NoConfiguration,
        Reason::CallerGone,
        Reason::TargetShed,
        Reason::OtherGeneration,
        Reason::Quarantined,
        Reason::Evacuated,
        Reason::ColdStart,
        Reason::OutsideHomes,
        Reason::TargetLimited,
        Reason::LinkFull,
    ];

    /// The reason's name in headers, metrics and logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Reason::NoRoute => "no-route",
            Reason::NoEndpoint => "no-endpoint",
            Reason::Connect => "connect",
            Reason::Draining => "draining",
            Reason::Starting => "starting",
            Reason::RateLimited => "rate-limited",
            Reason::QueueFull => "queue-full",
            Reason::Displaced => "displaced",
            Reason::QueueTimeout => "queue-timeout",
            Reason::DeadlineTooShort => "deadline-too-short",
            Reason::DeadlinePassed => "deadline-passed",
            Reason::NotOwner => "not-owner",
            Reason::LeaseLapsed => "lease-lapsed",
            Reason::Settling => "settling",
            Reason::WindowFull => "window-full",
            Reason::EarlierRunning => "earlier-running",
            Reason::EarlierUnknown => "earlier-unknown",
            Reason::HeadTooLarge => "head-too-large",
            Reason::TooLarge => "too-large",
            Reason::BadKey => "bad-key",
            Reason::TooManyHops => "too-many-hops",
            Reason::NoConfiguration => "no-configuration",
            Reason::CallerGone => "caller-gone",
            Reason::TargetShed => "target-shed",
            Reason::OtherGeneration => "other-life",
            Reason::Quarantined => "quarantined",
            Reason::Evacuated => "evacuated",
            Reason::ColdStart => "cold-start",
            Reason::OutsideHomes => "not-at-home",
            Reason::TargetLimited => "target-limited",
            Reason::LinkFull => "link-full",
        }
    }

    /// The reason of that name, if there is one.
    pub fn from_name(name: &str) -> Option<Reason> {
        Reason::ALL
            .into_iter()
            .find(|reason| reason.as_str() == name)
    }

    /// Whether it concerns this endpoint only and doesn't depend on the load of the
    /// service, so that another endpoint may well accept the request.
    pub const fn is_wrong_endpoint(self) -> bool {
        matches!(
            self,
            Reason::Connect
                | Reason::Draining
                | Reason::Starting
                | Reason::NotOwner
                | Reason::Evacuated
                | Reason::OutsideHomes
        )
    }

    /// Whether the target itself received the request and refused it.
    pub const fn is_from_target(self) -> bool {
        matches!(self, Reason::TargetShed | Reason::OtherGeneration)
    }

    /// Whether the owner of the request's key gives this reason only after it has
    /// proved that the key was never used. No attempt of the request has run then,
    /// whichever attempt this was.
    pub const fn proves_key_unused(self) -> bool {
        self.is_overload() || matches!(self, Reason::WindowFull)
    }

    /// Whether the whole service may be overloaded, so that a retry may displace
    /// other requests.
    pub const fn is_overload(self) -> bool {
        matches!(
            self,
            Reason::RateLimited
                | Reason::QueueFull
                | Reason::Displaced
                | Reason::QueueTimeout
                | Reason::DeadlineTooShort
                | Reason::TargetShed
                | Reason::ColdStart
                | Reason::TargetLimited
                | Reason::LinkFull
        )
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
