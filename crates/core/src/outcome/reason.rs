//! Why requests are refused.

use std::fmt;

/// Why a request was refused before it was handed over.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[non_exhaustive]
pub enum Reason {
    /// No route takes its path.
    NoRoute,
    /// No endpoint of its service takes new work.
    NoEndpoint,
    /// No connection to the endpoint was made, so that nothing was sent.
    Connect,
    /// The node or its target takes no new work because it is leaving.
    Draining,
    /// The target has not started yet.
    Starting,
    /// The entry's rate is used up.
    RateLimited,
    /// All slots are taken and the queue is full.
    QueueFull,
    /// More urgent work took its place in the queue.
    Displaced,
    /// It waited in the queue for as long as is allowed.
    QueueTimeout,
    /// It would wait longer than its deadline allows.
    DeadlineTooShort,
    /// Its deadline passed before it was handed over.
    DeadlinePassed,
    /// This node doesn't own the request's key.
    NotOwner,
    /// This node can't prove that its instance list is still in force.
    LeaseLapsed,
    /// This node owns the request's key since too short a time.
    Settling,
    /// The window of request keys is full.
    WindowFull,
    /// An earlier attempt with the same key is still running.
    EarlierRunning,
    /// An earlier attempt with the same key may have run.
    EarlierUnknown,
    /// Its body is larger than the bound.
    TooLarge,
    /// Its key is empty or too long.
    BadKey,
    /// It has passed more nodes than a call may.
    TooManyHops,
    /// This node holds no configuration yet.
    NoConfiguration,
    /// Its caller broke off before it was whole.
    CallerGone,
    /// The target got it and said that it did not run it, for its load.
    TargetShed,
    /// The target got it and said that it is not the life that was meant.
    OtherLife,
    /// Targets crash under it, so that none is to run it.
    Quarantined,
    /// Operators have evacuated the failure domain of the target.
    Evacuated,
    /// The target is cold and bears no more requests now.
    ColdStart,
    /// Its route may only be served in other regions.
    NotAtHome,
}

impl Reason {
    /// Every reason.
    pub const ALL: [Reason; 28] = [
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
        Reason::TooLarge,
        Reason::BadKey,
        Reason::TooManyHops,
        Reason::NoConfiguration,
        Reason::CallerGone,
        Reason::TargetShed,
        Reason::OtherLife,
        Reason::Quarantined,
        Reason::Evacuated,
        Reason::ColdStart,
        Reason::NotAtHome,
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
            Reason::TooLarge => "too-large",
            Reason::BadKey => "bad-key",
            Reason::TooManyHops => "too-many-hops",
            Reason::NoConfiguration => "no-configuration",
            Reason::CallerGone => "caller-gone",
            Reason::TargetShed => "target-shed",
            Reason::OtherLife => "other-life",
            Reason::Quarantined => "quarantined",
            Reason::Evacuated => "evacuated",
            Reason::ColdStart => "cold-start",
            Reason::NotAtHome => "not-at-home",
        }
    }

    /// The reason of that name, if there is one.
    pub fn from_name(name: &str) -> Option<Reason> {
        Reason::ALL
            .into_iter()
            .find(|reason| reason.as_str() == name)
    }

    /// Whether it says that this endpoint is the wrong one, and nothing of how
    /// loaded the service is: another endpoint may well take the request.
    pub const fn is_misplaced(self) -> bool {
        matches!(
            self,
            Reason::Connect
                | Reason::Draining
                | Reason::Starting
                | Reason::NotOwner
                | Reason::Evacuated
                | Reason::NotAtHome
        )
    }

    /// Whether the request had come as far as the target, which refused it.
    pub const fn is_of_target(self) -> bool {
        matches!(self, Reason::TargetShed | Reason::OtherLife)
    }

    /// Whether the owner of the request's key gave it after it had proved that
    /// the key was never used: nothing of the request has run then, whichever
    /// attempt this was.
    pub const fn is_after_proof(self) -> bool {
        self.is_overload() || matches!(self, Reason::WindowFull)
    }

    /// Whether the service as a whole may be short, so that trying again costs
    /// others their place.
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
        )
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
