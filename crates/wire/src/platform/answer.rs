//! What the platform answered.

use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::StatusCode;
use http::header::CONTENT_ENCODING;
use http::header::RETRY_AFTER;
use sassafrasspool_core::Error;
use sassafrasspool_core::Instance;
use sassafrasspool_core::Result;
use sassafrasspool_core::Revision;
use sassafrasspool_core::SourceResult;
use sassafrasspool_core::Step;
use sassafrasspool_core::Stream;
use serde::Deserialize;

use super::Fetched;
use super::MAX_INSTANCES;
use super::MAX_VALUE_BYTES;
use crate::unfold::unfold;

/// The content coding that is asked for. A catalogue shrinks to a twentieth,
/// and readers fetch it whole at each change.
pub(super) const CODING: &str = "zstd";

/// The header that carries the revision.
const REVISION: &str = "x-revision";

/// An instance list as published.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Listed {
    instances: Vec<Instance>,
}

/// Reads an answer.
///
/// # Errors
///
/// Fails if it is too large, or has a status or revision that the protocol
/// doesn't know.
pub(super) fn read(stream: Stream, answer: &Fetched) -> Result<SourceResult> {
    let headers = &answer.headers;
    match answer.status {
        StatusCode::OK => {
            let body = decoded(headers, answer.body.clone())?;
            Ok(value(stream, revision(headers)?, &body))
        }
        StatusCode::NOT_MODIFIED => Ok(SourceResult::Unchanged {
            newest: revision(headers).ok(),
        }),
        StatusCode::NOT_FOUND => Ok(SourceResult::NothingPublished),
        StatusCode::TOO_MANY_REQUESTS => Ok(SourceResult::Busy {
            retry_after: retry_after(headers),
        }),
        status => Err(failed(format!("answered {status}"))),
    }
}

/// Undoes the content coding, if the platform used the one asked for.
fn decoded(headers: &HeaderMap, body: Bytes) -> Result<Bytes> {
    let Some(coding) = headers.get(CONTENT_ENCODING) else {
        return Ok(body);
    };
    if coding != CODING {
        return Err(failed(format!("answered in the coding {coding:?}")));
    }
    let plain = unfold(&body, MAX_VALUE_BYTES);
    let plain = plain.map_err(|cause| failed("answer not as coded").with_cause(cause))?;
    let too_large = || failed(format!("unfolds to more than {MAX_VALUE_BYTES} bytes"));
    plain.map(Bytes::from).ok_or_else(too_large)
}

fn value(stream: Stream, revision: Revision, body: &[u8]) -> SourceResult {
    let read = match stream {
        Stream::Catalogue => catalogue(revision, body),
        Stream::Instances => instances(revision, body),
    };
    read.unwrap_or_else(|reason| SourceResult::Malformed { revision, reason })
}

fn catalogue(revision: Revision, body: &[u8]) -> Result<SourceResult, String> {
    let text = std::str::from_utf8(body).map_err(|err| format!("not text: {err}"))?;
    Ok(SourceResult::Catalogue {
        revision,
        text: text.to_owned(),
    })
}

fn instances(revision: Revision, body: &[u8]) -> Result<SourceResult, String> {
    let listed: Listed =
        serde_json::from_slice(body).map_err(|err| format!("not an instance list: {err}"))?;
    let instances = listed.instances;
    if instances.len() > MAX_INSTANCES {
        let n = instances.len();
        return Err(format!("{n} instances, at most {MAX_INSTANCES}"));
    }
    Ok(SourceResult::Instances {
        revision,
        instances,
    })
}

fn revision(headers: &HeaderMap) -> Result<Revision> {
    let value = headers.get(REVISION).and_then(|value| value.to_str().ok());
    let number = value.and_then(|value| value.parse().ok());
    let number = number.ok_or_else(|| failed("answered without a revision"))?;
    Revision::new(number)
}

fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get(RETRY_AFTER)?.to_str().ok()?;
    value.parse().ok().map(Duration::from_secs)
}

fn failed(reason: impl Into<String>) -> Error {
    Error::new(Step::Source, reason)
}
