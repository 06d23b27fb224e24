//! Decoding of the platform's responses.

use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::StatusCode;
use http::header::CONTENT_ENCODING;
use http::header::RETRY_AFTER;
use sassafrasspool_core::Epoch;
use sassafrasspool_core::Error;
use sassafrasspool_core::Instance;
use sassafrasspool_core::Result;
use sassafrasspool_core::Revision;
use sassafrasspool_core::SourceResult;
use sassafrasspool_core::Step;
use sassafrasspool_core::Stream;
use serde::Deserialize;

use super::HttpResponse;
use super::MAX_INSTANCES;
use super::MAX_VALUE_BYTES;
use crate::decompress::decompress_up_to;

/// The content coding named in requests. It compresses a catalogue to a twentieth, and
/// readers fetch the whole catalogue at each change.
pub(super) const CONTENT_CODING: &str = "zstd";

/// The response header with the revision.
const REVISION_HEADER: &str = "x-revision";

/// The response header with the epoch of the revision; absent in the first epoch.
const EPOCH_HEADER: &str = "x-epoch";

/// The JSON of an instance list.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ListDocument {
    instances: Vec<Instance>,
}

/// Decodes a response.
///
/// # Errors
///
/// Fails if the response is too large, or if the protocol doesn't define its status or
/// revision.
pub(super) fn decode(stream: Stream, res: &HttpResponse) -> Result<SourceResult> {
    let headers = &res.headers;
    match res.status {
        StatusCode::OK => {
            let body = decode_body(headers, res.body.clone())?;
            Ok(decode_value(stream, parse_revision(headers)?, &body))
        }
        StatusCode::NOT_MODIFIED => Ok(SourceResult::Unchanged {
            newest: parse_revision(headers).ok(),
        }),
        StatusCode::NOT_FOUND => Ok(SourceResult::NothingPublished),
        StatusCode::TOO_MANY_REQUESTS => Ok(SourceResult::Busy {
            retry_after: parse_retry_after(headers),
        }),
        status => Err(source_error(format!("unexpected status {status}"))),
    }
}

/// Decompresses a body if it has the requested content coding.
fn decode_body(headers: &HeaderMap, body: Bytes) -> Result<Bytes> {
    let Some(coding) = headers.get(CONTENT_ENCODING) else {
        return Ok(body);
    };
    if coding != CONTENT_CODING {
        return Err(source_error(format!(
            "unsupported content coding {coding:?}"
        )));
    }
    let plain = decompress_up_to(&body, MAX_VALUE_BYTES);
    let plain = plain
        .map_err(|cause| source_error("body doesn't match its content coding").with_cause(cause))?;
    let too_large = || {
        source_error(format!(
            "decompressed body larger than {MAX_VALUE_BYTES} bytes"
        ))
    };
    plain.map(Bytes::from).ok_or_else(too_large)
}

fn decode_value(stream: Stream, revision: Revision, body: &[u8]) -> SourceResult {
    let decoded = match stream {
        Stream::Catalogue => decode_catalogue(revision, body),
        Stream::Instances => decode_instances(revision, body),
    };
    decoded.unwrap_or_else(|reason| SourceResult::Malformed { revision, reason })
}

fn decode_catalogue(revision: Revision, body: &[u8]) -> Result<SourceResult, String> {
    let text = std::str::from_utf8(body).map_err(|err| format!("not UTF-8: {err}"))?;
    Ok(SourceResult::Catalogue {
        revision,
        text: text.to_owned(),
    })
}

fn decode_instances(revision: Revision, body: &[u8]) -> Result<SourceResult, String> {
    let document: ListDocument =
        serde_json::from_slice(body).map_err(|err| format!("not an instance list: {err}"))?;
    let instances = document.instances;
    if instances.len() > MAX_INSTANCES {
        let n = instances.len();
        return Err(format!("{n} instances, at most {MAX_INSTANCES} allowed"));
    }
    Ok(SourceResult::Instances {
        revision,
        instances,
    })
}

fn parse_revision(headers: &HeaderMap) -> Result<Revision> {
    let number = parse_number(headers, REVISION_HEADER)?;
    let number = number.ok_or_else(|| source_error("response without a revision"))?;
    let epoch = parse_number(headers, EPOCH_HEADER)?;
    Revision::in_epoch(epoch.map_or(Epoch::FIRST, Epoch::new), number)
}

fn parse_number(headers: &HeaderMap, name: &str) -> Result<Option<u64>> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let number = value.to_str().ok().and_then(|value| value.parse().ok());
    let number = number.ok_or_else(|| source_error(format!("header {name} isn't a number")))?;
    Ok(Some(number))
}

fn parse_retry_after(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get(RETRY_AFTER)?.to_str().ok()?;
    value.parse().ok().map(Duration::from_secs)
}

fn source_error(reason: impl Into<String>) -> Error {
    Error::new(Step::Source, reason)
}
