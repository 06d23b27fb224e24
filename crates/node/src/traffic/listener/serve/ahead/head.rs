//! Heads of requests in bytes that were read.

use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Uri;
use http::Version;
use http::header;

/// Header fields of a request that is begun early at most; one with more is
/// taken in its turn.
const MAX_FIELDS: usize = 64;

/// What the next bytes are.
#[derive(Debug)]
pub(super) enum Next {
    /// The head isn't whole yet.
    Partial,
    /// A request without a body, whose head has so many bytes.
    Whole(usize, Box<Request<()>>),
    /// A request whose head has so many bytes, with a body of that length.
    WithBody(usize, u64),
    /// Something whose end can't be told here.
    Unknown,
}

/// Reads a request's head at the beginning of `bytes`.
pub(super) fn next(bytes: &[u8]) -> Next {
    let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut head = httparse::Request::new(&mut fields);
    let len = match head.parse(bytes) {
        Ok(httparse::Status::Complete(len)) => len,
        Ok(httparse::Status::Partial) => return Next::Partial,
        Err(_) => return Next::Unknown,
    };
    let Some(req) = request(&head) else {
        return Next::Unknown;
    };
    let headers = req.headers();
    let unclear = [header::TRANSFER_ENCODING, header::UPGRADE, header::EXPECT];
    if unclear.iter().any(|name| headers.contains_key(name)) {
        return Next::Unknown;
    }
    let Some(length) = headers.get(header::CONTENT_LENGTH) else {
        return Next::Whole(len, Box::new(req));
    };
    let length = length.to_str().ok().and_then(|text| text.parse().ok());
    match length {
        Some(0) => Next::Whole(len, Box::new(req)),
        Some(length) => Next::WithBody(len, length),
        None => Next::Unknown,
    }
}

fn request(head: &httparse::Request<'_, '_>) -> Option<Request<()>> {
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
