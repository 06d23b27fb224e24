//! Header names and conventions of a deployment's callers and targets.

use http::HeaderMap;
use http::HeaderName;
use http::Response;
use http::StatusCode;
use sassafrasspool_core::RequestRate;
use sassafrasspool_wire::header::TARGET_LEAVING;
use sassafrasspool_wire::header::TARGET_RATE_LIMIT;

/// The header names and conventions that a node uses with its callers and its
/// target, as far as deployments differ in them.
///
/// [`Dialect::NATIVE`] is that of this project; an adapter to another platform
/// provides its own. The protocol between nodes is the same in all deployments.
#[derive(Debug, Clone)]
pub struct Dialect {
    /// To the target: the generation that the request is meant for. Another
    /// generation answers 421 and doesn't run it.
    pub target_generation: Option<HeaderName>,
    /// From the target: its generation, on an answer that declines a request for
    /// another generation.
    pub answering_generation: Option<HeaderName>,
    /// From the target, on the answer to a health probe: how many milliseconds it will
    /// still be cold.
    pub cold_left_ms: Option<HeaderName>,
    /// From the target: the requests a second that it accepts from all nodes together.
    pub rate_limit: Option<HeaderName>,
    /// From the target: marks all answers of a target that leaves.
    pub leaving: Option<HeaderName>,
    /// To the target: the service of the caller's node.
    pub origin: Option<HeaderName>,
    /// From the target: marks an answer to a request that it did not run.
    pub not_run: Option<HeaderName>,
    /// From the target: marks every answer that comes from the target itself. A
    /// success without it isn't accepted as one.
    pub signature: Option<HeaderName>,
    /// Whether targets return the request's id in their answers, so that an
    /// answer to another request is detected.
    pub echoes_request_id: bool,
    /// The path that returns whether the node accepts callers.
    pub ready_path: &'static str,
    /// Whether answers to callers carry the outcome in this project's headers.
    pub sends_outcome_headers: bool,
    /// Whether `Retry-After` is sent to callers as a decimal fraction.
    pub fractional_retry_after: bool,
    /// The name in the settings of the feature that callers who return at the time that they
    /// were told go before others.
    pub return_priority_feature: &'static str,
}

impl Dialect {
    /// The header names and conventions of this project.
    pub const NATIVE: Dialect = Dialect {
        target_generation: None,
        answering_generation: None,
        cold_left_ms: None,
        rate_limit: Some(TARGET_RATE_LIMIT),
        leaving: Some(TARGET_LEAVING),
        origin: None,
        not_run: None,
        signature: None,
        echoes_request_id: false,
        ready_path: "/ready",
        sends_outcome_headers: true,
        fractional_retry_after: false,
        return_priority_feature: "return-priority",
    };

    /// Whether an answer of the target states that it leaves.
    pub(crate) fn states_leaving(&self, headers: &HeaderMap) -> bool {
        let name = self.leaving.as_ref();
        name.is_some_and(|name| headers.contains_key(name))
    }

    /// The rate limit that an answer of the target states, if it states a valid one.
    pub(crate) fn stated_rate_limit(&self, headers: &HeaderMap) -> Option<RequestRate> {
        let value = headers.get(self.rate_limit.as_ref()?)?;
        let parsed = value.to_str().ok().map(RequestRate::parse);
        match parsed {
            Some(Ok(limit)) => Some(limit),
            _ => {
                tracing::debug!(?value, "the target states a malformed rate limit");
                None
            }
        }
    }

    /// Whether an answer proves that the target did not run the request.
    pub(crate) fn proves_not_run<B>(&self, res: &Response<B>) -> bool {
        let other_generation = res.status() == StatusCode::MISDIRECTED_REQUEST;
        let marked_not_run = self
            .not_run
            .as_ref()
            .is_some_and(|name| res.headers().contains_key(name));
        marked_not_run || (other_generation && self.target_generation.is_some())
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
