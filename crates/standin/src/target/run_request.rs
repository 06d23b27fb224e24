//! The parameters of a request to the target.

use std::time::Duration;

use http::HeaderMap;
use http::HeaderName;
use http::request::Parts;
use sassafrasspool_core::Error;
use sassafrasspool_core::KindName;
use sassafrasspool_core::Result;
use sassafrasspool_core::Step;
use sassafrasspool_wire::header;

use super::generation::Generation;
use super::run::Run;
use super::run::RunEnd;

/// Request header with the kind, which determines the service time.
pub const KIND_HEADER: HeaderName = HeaderName::from_static("x-kind");

/// Request header with the number of pattern bytes in the answer.
pub const ANSWER_BYTES_HEADER: HeaderName = HeaderName::from_static("x-answer-bytes");

/// The maximum length of a header value that is read, such as a request id, key or
/// kind, in bytes.
const MAX_HEADER_VALUE_BYTES: usize = 256;

/// The maximum length of the pattern in an answer, in bytes.
pub const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// The validated parameters of a request.
#[derive(Debug)]
pub(super) struct RunRequest {
    pub(super) id: String,
    pub(super) key: Option<String>,
    pub(super) kind: Option<KindName>,
    pub(super) path: String,
    pub(super) answer_bytes: usize,
    pub(super) timeout: Option<Duration>,
    pub(super) service_time: Duration,
}

impl RunRequest {
    /// Parses a request's head. A request without an id gets one made from `n`.
    pub(super) fn parse(generation: &Generation, head: &Parts, n: u64) -> Result<RunRequest> {
        let headers = &head.headers;
        let times = &generation.shared.cfg.service;
        let path = head.uri.path();
        let kind = match header_text(headers, &KIND_HEADER)? {
            Some(named) => Some(KindName::new(named)?),
            None => times.kind_of_path(path).cloned(),
        };
        let id = header_text(headers, &header::REQUEST_ID)?.map(str::to_owned);
        Ok(RunRequest {
            id: id.unwrap_or_else(|| format!("unnamed-{n}")),
            key: header_text(headers, &header::IDEMPOTENCY_KEY)?.map(str::to_owned),
            path: path.to_owned(),
            answer_bytes: answer_bytes(headers)?,
            timeout: header_number(headers, &header::REQUEST_TIMEOUT_MS)?
                .map(Duration::from_millis),
            service_time: times.time(kind.as_ref()) + generation.shared.switches().slow,
            kind,
        })
    }

    /// The ledger entry of this request before its body is received.
    pub(super) fn ledger_entry(&self, generation: &Generation) -> Run {
        Run {
            id: self.id.clone(),
            key: self.key.clone(),
            path: self.path.clone(),
            kind: self.kind.clone(),
            incarnation: generation.number,
            started_us: generation.shared.ledger.clock.now_us(),
            ended_us: None,
            finished: false,
            status: None,
            received_bytes: 0,
            end: RunEnd::Receiving,
        }
    }
}

fn answer_bytes(headers: &HeaderMap) -> Result<usize> {
    let len = header_number(headers, &ANSWER_BYTES_HEADER)?.unwrap_or(0);
    match usize::try_from(len) {
        Ok(len) if len <= MAX_ANSWER_BYTES => Ok(len),
        _ => Err(malformed(&ANSWER_BYTES_HEADER, "is at most 64 MiB")),
    }
}

fn header_number(headers: &HeaderMap, name: &HeaderName) -> Result<Option<u64>> {
    let Some(text) = header_text(headers, name)? else {
        return Ok(None);
    };
    let n = text
        .parse()
        .map_err(|_| malformed(name, "must be a whole number"))?;
    Ok(Some(n))
}

fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<Option<&'a str>> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let text = value
        .to_str()
        .map_err(|_| malformed(name, "must be visible ASCII"))?;
    if text.is_empty() || text.len() > MAX_HEADER_VALUE_BYTES {
        return Err(malformed(name, "must have 1 to 256 bytes"));
    }
    Ok(Some(text))
}

fn malformed(name: &HeaderName, reason: &str) -> Error {
    Error::new(Step::Check, format!("{name} {reason}"))
}
