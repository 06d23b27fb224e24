//! What callers and targets of a deployment call things on the wire.

use http::HeaderName;
use http::Response;
use http::StatusCode;

/// The names by which a node speaks to its callers and to its target, as far
/// as deployments differ in them.
///
/// [`Dialect::OWN`] is this project's; an adapter to another platform brings
/// one of its own. What nodes say to one another is the same everywhere.
#[derive(Debug, Clone)]
pub struct Dialect {
    /// To the target: the life that the request is meant for. Another life
    /// answers 421 and doesn't run it.
    pub target_life: Option<HeaderName>,
    /// From the target: which life it is, on an answer that declines a request
    /// for another.
    pub answering_life: Option<HeaderName>,
    /// From the target, when it is asked for its health: for how many milliseconds more it
    /// is cold.
    pub cold_left_ms: Option<HeaderName>,
    /// To the target: the service beside whose target the request began.
    pub origin: Option<HeaderName>,
    /// From the target: on an answer that says that it did not run the request.
    pub not_run: Option<HeaderName>,
    /// From the target: on every answer that it gives itself. A success
    /// without it is none.
    pub signature: Option<HeaderName>,
    /// Whether targets repeat the request's id in their answers, so that an
    /// answer to another request shows.
    pub echoes_id: bool,
    /// The path on which the node says whether it takes callers.
    pub ready_path: &'static str,
    /// Whether callers are told the outcome in headers of the project's own.
    pub tells_outcome: bool,
    /// Whether callers read the time to come back as a decimal fraction.
    pub fractional_retry: bool,
}

impl Dialect {
    /// This project's own.
    pub const OWN: Dialect = Dialect {
        target_life: None,
        answering_life: None,
        cold_left_ms: None,
        origin: None,
        not_run: None,
        signature: None,
        echoes_id: false,
        ready_path: "/ready",
        tells_outcome: true,
        fractional_retry: false,
    };

    /// Whether an answer proves that the target did not run the request.
    pub(crate) fn declines<B>(&self, res: &Response<B>) -> bool {
        let other_life = res.status() == StatusCode::MISDIRECTED_REQUEST;
        let said = self
            .not_run
            .as_ref()
            .is_some_and(|name| res.headers().contains_key(name));
        said || (other_life && self.target_life.is_some())
    }

    /// Whether a success lacks what only the target can put on it.
    pub(crate) fn lacks_signature<B>(&self, res: &Response<B>) -> bool {
        let signature = self.signature.as_ref();
        let signed = signature.is_none_or(|name| res.headers().contains_key(name));
        res.status().is_success() && !signed
    }
}

impl Default for Dialect {
    fn default() -> Dialect {
        Dialect::OWN
    }
}
