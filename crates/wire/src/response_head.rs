//! Rules for the heads of HTTP responses that the HTTP library doesn't enforce.

use std::error;
use std::fmt;

use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::Version;
use http::header::CONNECTION;
use http::header::CONTENT_LENGTH;
use http::header::TRANSFER_ENCODING;
use hyper::body::Body;

pub use self::line_endings::LineEndings;

mod line_endings;
#[cfg(test)]
mod tests;

/// The highest valid status code.
const MAX_STATUS: u16 = 599;

/// The field in which a server states how long it keeps an idle connection.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Why the head of a response is malformed.
#[derive(Debug)]
pub struct MalformedHead(&'static str);

impl fmt::Display for MalformedHead {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.0)
    }
}

impl error::Error for MalformedHead {}

/// Checks the status and the framing of a final response to a request that asked for no
/// upgrade and no transfer coding. Writes the length, if the head states one, as a single
/// decimal number.
///
/// Responses without a body, such as those to HEAD, are held to the same rules. A body that
/// ends with its connection is valid, unless the head states that the connection is kept.
///
/// # Errors
///
/// Fails if the status isn't that of a final response, or if the head doesn't frame the body
/// in exactly one way. Nothing that such a head states can be relied on.
///
/// # Example
///
/// ```
/// use bytes::Bytes;
/// use http::Response;
/// use http_body_util::Full;
/// use sassafrasspool_wire::validate_response_head;
///
/// let framed_by = |name: &str, value: &str| {
///     Response::builder().header(name, value).body(Full::<Bytes>::from("glas"))
/// };
/// let mut sized = framed_by("content-length", "004").unwrap();
/// assert!(validate_response_head(&mut sized).is_ok());
/// assert_eq!(sized.headers()["content-length"], "4");
///
/// let mut coded = framed_by("transfer-encoding", "gzip, chunked").unwrap();
/// assert!(validate_response_head(&mut coded).is_err());
/// ```
pub fn validate_response_head<B: Body>(res: &mut Response<B>) -> Result<(), MalformedHead> {
    check_status(res.status())?;
    check_transfer_encoding(res.version(), res.headers())?;
    check_unframed(res)?;
    if let Some(length) = parse_content_length(res.headers())? {
        // Replaces all fields of that name. HTTP/2 accepts no list and at most 19 digits.
        let length = HeaderValue::from(length);
        res.headers_mut().insert(CONTENT_LENGTH, length);
    }
    Ok(())
}

fn check_status(status: StatusCode) -> Result<(), MalformedHead> {
    if status.is_informational() {
        return Err(MalformedHead("the status is not that of a final response"));
    }
    match status.as_u16() > MAX_STATUS {
        true => Err(MalformedHead("the status is not valid")),
        false => Ok(()),
    }
}

fn check_transfer_encoding(version: Version, headers: &HeaderMap) -> Result<(), MalformedHead> {
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    let Some(coding) = codings.next() else {
        return Ok(());
    };
    if version != Version::HTTP_11 {
        return Err(MalformedHead("this version has no transfer codings"));
    }
    if headers.contains_key(CONTENT_LENGTH) {
        return Err(MalformedHead("there are a length and a transfer coding"));
    }
    let is_chunked = coding.as_bytes().eq_ignore_ascii_case(b"chunked");
    match is_chunked && codings.next().is_none() {
        true => Ok(()),
        false => Err(MalformedHead("the transfer coding is not supported")),
    }
}

/// Checks a body without a length or coding: only the end of its connection ends it.
fn check_unframed<B: Body>(res: &Response<B>) -> Result<(), MalformedHead> {
    let headers = res.headers();
    let is_framed = res.version() >= Version::HTTP_2
        || res.body().size_hint().exact().is_some()
        || headers.contains_key(TRANSFER_ENCODING);
    match !is_framed && states_kept_connection(headers) {
        true => Err(MalformedHead("a body without an end on a kept connection")),
        false => Ok(()),
    }
}

fn states_kept_connection(headers: &HeaderMap) -> bool {
    let has_option = |option: &[u8]| {
        let values = headers.get_all(CONNECTION).iter();
        let mut options = values.flat_map(|value| value.as_bytes().split(|byte| *byte == b','));
        options.any(|it| it.trim_ascii().eq_ignore_ascii_case(option))
    };
    let states_kept = headers.contains_key(KEEP_ALIVE) || has_option(b"keep-alive");
    states_kept && !has_option(b"close")
}

/// The length that the head states; `None` if it states none.
fn parse_content_length(headers: &HeaderMap) -> Result<Option<u64>, MalformedHead> {
    let mut length = None;
    for value in headers.get_all(CONTENT_LENGTH) {
        for element in value.as_bytes().split(|byte| *byte == b',') {
            let parsed = parse_decimal(element.trim_ascii());
            let parsed = parsed.ok_or(MalformedHead("the length is not a number"))?;
            if length.is_some_and(|length| length != parsed) {
                return Err(MalformedHead("the lengths differ"));
            }
            length = Some(parsed);
        }
    }
    Ok(length)
}

/// Parses digits alone; unlike `str::parse`, it accepts no sign.
fn parse_decimal(digits: &[u8]) -> Option<u64> {
    if !digits.iter().all(u8::is_ascii_digit) {
        return None;
    }
    str::from_utf8(digits).ok()?.parse().ok()
}
