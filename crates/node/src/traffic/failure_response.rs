//! Refusals and losses as responses of the node, and back.

use std::time::Duration;

use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;
use sassafrasspool_core::Failure;
use sassafrasspool_core::Loss;
use sassafrasspool_core::LossCause;
use sassafrasspool_core::Outcome;
use sassafrasspool_core::Reason;
use sassafrasspool_core::Refusal;
use sassafrasspool_core::Step;
use sassafrasspool_wire::header as names;
use serde::Serialize;

use super::answer_body::AnswerBody;
use crate::Dialect;

/// Retry delay in refusals that have none of their own.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The JSON body of a response to a failed request.
#[derive(Debug, Serialize)]
struct FailureBody {
    outcome: &'static str,
    step: &'static str,
    reason: &'static str,
}

/// The response to a request that has no answer of its target.
pub(super) fn to_response(failure: &Failure, dialect: &Dialect) -> Response<AnswerBody> {
    match failure {
        Failure::Refused(refusal) => respond_refused(refusal, dialect),
        Failure::Lost(loss) => respond_lost(loss),
    }
}

fn respond_refused(refusal: &Refusal, dialect: &Dialect) -> Response<AnswerBody> {
    let body = FailureBody {
        outcome: refusal.outcome().as_str(),
        step: refusal.step().as_str(),
        reason: refusal.reason().as_str(),
    };
    let mut res = failure_response(&body, refused_status(refusal));
    let after = sent_retry_after(refusal, dialect);
    set_retry_after(res.headers_mut(), after, dialect.fractional_retry_after);
    res
}

/// The retry delay that the response to a refused request names: whole seconds, rounded up,
/// since a caller that retries too early meets the same condition. Callers that read
/// fractions receive milliseconds.
pub(super) fn sent_retry_after(refusal: &Refusal, dialect: &Dialect) -> Duration {
    let after = refusal.retry_after().unwrap_or(DEFAULT_RETRY_AFTER);
    let millis = u64::try_from(after.as_millis().max(1)).unwrap_or(u64::MAX);
    match dialect.fractional_retry_after {
        true => Duration::from_millis(millis),
        false => Duration::from_secs(millis.div_ceil(1_000)),
    }
}

fn respond_lost(loss: &Loss) -> Response<AnswerBody> {
    let body = FailureBody {
        outcome: loss.outcome().as_str(),
        step: loss.step().as_str(),
        reason: loss.cause().as_str(),
    };
    let status = match loss.cause() {
        LossCause::Timeout => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::BAD_GATEWAY,
    };
    failure_response(&body, status)
}

fn refused_status(refusal: &Refusal) -> StatusCode {
    match (refusal.outcome(), refusal.reason()) {
        (_, Reason::NoRoute) => StatusCode::NOT_FOUND,
        (_, Reason::RateLimited) => StatusCode::TOO_MANY_REQUESTS,
        (_, Reason::BadKey) => StatusCode::BAD_REQUEST,
        (_, Reason::HeadTooLarge) => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
        (_, Reason::TooLarge) => StatusCode::PAYLOAD_TOO_LARGE,
        (_, Reason::TooManyHops) => StatusCode::LOOP_DETECTED,
        (Outcome::Unknown, _) => StatusCode::BAD_GATEWAY,
        (Outcome::NotRun, _) => StatusCode::SERVICE_UNAVAILABLE,
    }
}

fn failure_response(body: &FailureBody, status: StatusCode) -> Response<AnswerBody> {
    // The serialisation of three short strings can't fail. With an empty body the
    // outcome would still be in its header.
    let text = serde_json::to_string(body).unwrap_or_default();
    let mut res = Response::new(AnswerBody::from_text(text));
    *res.status_mut() = status;
    let headers = res.headers_mut();
    let json = HeaderValue::from_static("application/json");
    headers.insert(header::CONTENT_TYPE, json);
    headers.insert(names::OUTCOME, HeaderValue::from_static(body.outcome));
    headers.insert(names::STEP, HeaderValue::from_static(body.step));
    headers.insert(names::REASON, HeaderValue::from_static(body.reason));
    res
}

fn set_retry_after(headers: &mut HeaderMap, after: Duration, fractional: bool) {
    let value = match fractional {
        true => {
            let text = format!("{}.{:03}", after.as_secs(), after.subsec_millis());
            HeaderValue::try_from(text)
        }
        false => Ok(HeaderValue::from(after.as_secs())),
    };
    // Digits and a point are a valid header value.
    if let Ok(value) = value {
        headers.insert(header::RETRY_AFTER, value);
    }
}

/// The failure that another node sent in place of an answer of its target; `None` if the
/// answer is the target's.
pub(super) fn parse_failure<B>(res: &Response<B>) -> Option<Failure> {
    let headers = res.headers();
    let outcome = names::parse_outcome(headers)?;
    let reason = text(headers, &names::REASON).and_then(Reason::from_name);
    // A reason that is unknown to this version proves nothing about the request.
    let Some(reason) = reason else {
        return Some(Loss::new(Step::Forward, peer_cause(res.status())).into());
    };
    let refusal = match outcome {
        Outcome::NotRun => Refusal::not_run(Step::Admission, reason),
        Outcome::Unknown => Refusal::unknown(Step::Admission, reason),
    };
    let after = text(headers, &header::RETRY_AFTER).and_then(|secs| secs.parse().ok());
    let after = after.and_then(|secs| Duration::try_from_secs_f64(secs).ok());
    Some(match after {
        Some(after) => refusal.with_retry_after(after).into(),
        None => refusal.into(),
    })
}

fn peer_cause(status: StatusCode) -> LossCause {
    match status {
        StatusCode::GATEWAY_TIMEOUT => LossCause::Timeout,
        _ => LossCause::Peer,
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
