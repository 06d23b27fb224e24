//! Header names and conventions of a deployment's callers and targets.

use http::HeaderName;
use http::Response;
use http::StatusCode;

/// The header names and conventions that a node uses with its callers and its
/// target, as far as deployments differ in them.
///
/// [`Dialect::NATIVE`] is that of this project; an adapter to another platform
/// provides its own. The protocol between nodes is the same in all deployments.
#[derive(Debug, Clone)]
pub struct Dialect {
    /// To the target: the generation that the request is meant for. Another
    /// generation answers 421 and doesn't run it.
    pub target_life: Option<HeaderName>,
    /// From the target: its generation, on an answer that declines a request for
    /// another generation.
    pub answering_life: Option<HeaderName>,
    /// From the target, on the answer to a health probe: how many milliseconds it will
    /// still be cold.
    pub cold_left_ms: Option<HeaderName>,
    /// To the target: the service of the caller's node.
    pub origin: Option<HeaderName>,
    /// From the target: marks an answer to a request that it did not run.
    pub not_run: Option<HeaderName>,
    /// From the target: marks every answer that comes from the target itself. A
    /// success without it isn't accepted as one.
    pub signature: Option<HeaderName>,
    /// Whether targets return the request's id in their answers, so that an
    /// answer to another request is detected.
    pub echoes_id: bool,
    /// The path that returns whether the node accepts callers.
    pub ready_path: &'static str,
    /// Whether answers to callers carry the outcome in this project's headers.
    pub tells_outcome: bool,
    /// Whether `Retry-After` is sent to callers as a decimal fraction.
    pub fractional_retry: bool,
}

impl Dialect {
    /// The header names and conventions of this project.
    pub const NATIVE: Dialect = Dialect {
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
        let other_generation = res.status() == StatusCode::MISDIRECTED_REQUEST;
        let marked_not_run = self
            .not_run
            .as_ref()
            .is_some_and(|name| res.headers().contains_key(name));
        marked_not_run || (other_generation && self.target_life.is_some())
    }

    /// Whether a success lacks the signature header, which only the target sets.
    pub(crate) fn lacks_signature<B>(&self, res: &Response<B>) -> bool {
        let signature = self.signature.as_ref();
        let signed = signature.is_none_or(|name| res.headers().contains_key(name));
        res.status().is_success() && !signed
    }
}

impl Default for Dialect {
    fn default() -> Dialect {
        Dialect::NATIVE
    }
}
