//! Requests that their caller may send again.

use http::HeaderMap;
use http::HeaderValue;
use http::Request;
use sassafrasspool_core::Attempt;
use sassafrasspool_core::Failure;
use sassafrasspool_core::Reason;
use sassafrasspool_core::Refusal;
use sassafrasspool_core::RequestKey;
use sassafrasspool_core::ServiceName;
use sassafrasspool_core::Step;
use sassafrasspool_wire::header::IDEMPOTENCY_KEY;
use sassafrasspool_wire::header::REQUEST_ATTEMPT;

/// The key of a request, and what its caller says of this attempt.
#[derive(Debug, Clone, Copy)]
pub(super) struct Keyed {
    pub(super) key: RequestKey,
    pub(super) attempt: Attempt,
}

impl Keyed {
    /// The key of a request to `service`, if it has one. Both the node that
    /// looks for the owner and the owner read it from the same head.
    ///
    /// # Errors
    ///
    /// Refuses a key that is empty, too long or no text: to pass over it would
    /// run a request again of which the caller believes that it can't.
    pub(super) fn of<B>(service: &ServiceName, req: &Request<B>) -> Result<Option<Keyed>, Refusal> {
        let Some(value) = req.headers().get(IDEMPOTENCY_KEY) else {
            return Ok(None);
        };
        let bad = || Refusal::not_run(Step::Check, Reason::BadKey);
        let text = value.to_str().map_err(|_| bad())?;
        let operation = format!("{} {}", req.method(), req.uri().path());
        let key = RequestKey::new(service, &operation, text).map_err(|_| bad())?;
        let attempt = attempt(req.headers().get(REQUEST_ATTEMPT));
        Ok(Some(Keyed { key, attempt }))
    }
}

/// Whether an attempt before this one may have run, by the caller's own word.
pub(super) fn may_follow_another(headers: &HeaderMap) -> bool {
    let keyed = headers.contains_key(IDEMPOTENCY_KEY);
    keyed && attempt(headers.get(REQUEST_ATTEMPT)) == Attempt::MayRepeat
}

/// What a failure of such an attempt says of the caller's request.
///
/// That this attempt was not run says nothing of those before, and a caller
/// who heard `not-run` would believe that the request never happened.
pub(super) fn unknown(failure: Failure) -> Failure {
    let Failure::Refused(refusal) = failure else {
        return failure;
    };
    let unknown = Refusal::unknown(refusal.step(), refusal.reason());
    match refusal.retry_after() {
        Some(wait) => unknown.with_retry_after(wait).into(),
        None => unknown.into(),
    }
}

fn attempt(value: Option<&HeaderValue>) -> Attempt {
    match value.map(HeaderValue::as_bytes) {
        Some(b"1") => Attempt::First,
        _ => Attempt::MayRepeat,
    }
}
