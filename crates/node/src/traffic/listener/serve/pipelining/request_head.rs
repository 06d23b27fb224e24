//! Parses the heads of pipelined requests.

use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Uri;
use http::Version;
use http::header;

/// The most header fields of a request that is started early. One with more is served in
/// its turn.
const MAX_HEADER_FIELDS: usize = 64;

/// What the next bytes contain.
#[derive(Debug)]
pub(super) enum NextRequest {
    /// An incomplete head.
    Partial,
    /// The length of the head in bytes, and a request without a body.
    WithoutBody(usize, Box<Request<()>>),
    /// The lengths of the head and of the body of a request, in bytes.
    WithBody(usize, u64),
    /// Bytes that can't be parsed here, or a request whose end can't be determined.
    Unknown,
}

/// Parses the head of a request at the start of `bytes`.
pub(super) fn parse_next(bytes: &[u8]) -> NextRequest {
    let (len, req) = match parse(bytes) {
        Some(httparse::Status::Complete(parsed)) => parsed,
        Some(httparse::Status::Partial) => return NextRequest::Partial,
        None => return NextRequest::Unknown,
    };
    let headers = req.headers();
    let undetermined = [header::TRANSFER_ENCODING, header::UPGRADE, header::EXPECT];
    if undetermined.iter().any(|name| headers.contains_key(name)) {
        return NextRequest::Unknown;
    }
    let Some(length) = headers.get(header::CONTENT_LENGTH) else {
        return NextRequest::WithoutBody(len, Box::new(req));
    };
    let length = length.to_str().ok().and_then(|text| text.parse().ok());
    match length {
        Some(0) => NextRequest::WithoutBody(len, Box::new(req)),
        Some(length) => NextRequest::WithBody(len, length),
        None => NextRequest::Unknown,
    }
}

/// The request whose head is at the start of `bytes`, if it is complete and valid.
pub(in crate::traffic::listener::serve) fn parse_head(bytes: &[u8]) -> Option<Request<()>> {
    match parse(bytes)? {
        httparse::Status::Complete((_, req)) => Some(req),
        httparse::Status::Partial => None,
    }
}

/// Parses a head and returns its length in bytes; `None` for invalid bytes.
fn parse(bytes: &[u8]) -> Option<httparse::Status<(usize, Request<()>)>> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_HEADER_FIELDS];
    let mut head = httparse::Request::new(&mut fields);
    let parsed = head.parse(bytes).ok()?;
    Some(match parsed {
        httparse::Status::Complete(len) => httparse::Status::Complete((len, to_request(&head)?)),
        httparse::Status::Partial => httparse::Status::Partial,
    })
}

fn to_request(head: &httparse::Request<'_, '_>) -> Option<Request<()>> {
    let mut req = Request::new(());
    *req.method_mut() = Method::from_bytes(head.method?.as_bytes()).ok()?;
    *req.uri_mut() = head.path?.parse::<Uri>().ok()?;
    *req.version_mut() = match head.version? {
        1 => Version::HTTP_11,
        _ => return None,
    };
    for field in head.headers.iter() {
        let name = HeaderName::from_bytes(field.name.as_bytes()).ok()?;
        let value = HeaderValue::from_bytes(field.value).ok()?;
        req.headers_mut().append(name, value);
    }
    Some(req)
}
