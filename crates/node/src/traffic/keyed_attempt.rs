//! Requests with an idempotency key, which the caller may send again.

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

/// The key of a request, and which attempt this is according to the caller.
#[derive(Debug, Clone, Copy)]
pub(super) struct KeyedAttempt {
    pub(super) key: RequestKey,
    pub(super) attempt: Attempt,
}

impl KeyedAttempt {
    /// The key of a request to `service`, if it has one. The node that looks up the
    /// owner of the key and the owner itself derive it from the same head.
    ///
    /// # Errors
    ///
    /// Refuses a key that is empty, too long or not text. Ignoring such a key could run
    /// a request twice although the caller relies on its key to prevent that.
    pub(super) fn from_request<B>(
        service: &ServiceName,
        req: &Request<B>,
    ) -> Result<Option<KeyedAttempt>, Refusal> {
        let Some(value) = req.headers().get(IDEMPOTENCY_KEY) else {
            return Ok(None);
        };
        let bad_key = || Refusal::not_run(Step::Check, Reason::BadKey);
        let text = value.to_str().map_err(|_| bad_key())?;
        let operation = format!("{} {}", req.method(), req.uri().path());
        let key = RequestKey::new(service, &operation, text).map_err(|_| bad_key())?;
        let attempt = parse_attempt(req.headers().get(REQUEST_ATTEMPT));
        Ok(Some(KeyedAttempt { key, attempt }))
    }
}

/// Whether an earlier attempt may have run, by the caller's headers.
pub(super) fn may_follow_earlier_attempt(headers: &HeaderMap) -> bool {
    let keyed = headers.contains_key(IDEMPOTENCY_KEY);
    keyed && parse_attempt(headers.get(REQUEST_ATTEMPT)) == Attempt::MayRepeat
}

/// Turns a refusal of an attempt that may follow another into one with an unknown outcome.
///
/// That this attempt was not run shows nothing about the earlier ones. A caller that
/// received `not-run` would conclude that the request was never run.
pub(super) fn into_unknown(failure: Failure) -> Failure {
    let Failure::Refused(refusal) = failure else {
        return failure;
    };
    let unknown = Refusal::unknown(refusal.step(), refusal.reason());
    match refusal.retry_after() {
        Some(wait) => unknown.with_retry_after(wait).into(),
        None => unknown.into(),
    }
}

fn parse_attempt(value: Option<&HeaderValue>) -> Attempt {
    match value.map(HeaderValue::as_bytes) {
        Some(b"1") => Attempt::First,
        _ => Attempt::MayRepeat,
    }
}
