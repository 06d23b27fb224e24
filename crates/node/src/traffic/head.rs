//! Heads of requests and answers: which headers are forwarded.

use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Request;
use http::Uri;
use http::Version;
use http::header;
use sassafrasspool_core::RequestRate;
use sassafrasspool_wire::header::INTERNAL_PREFIX;

/// Hop-by-hop headers, which apply to one connection only.
const HOP_BY_HOP: [HeaderName; 7] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Removes the headers that only nodes may set.
///
/// Otherwise a caller or a target could forge an outcome, a deadline or a hop count: work
/// for which a target reports `not-run` although it was done would run twice. Only this
/// project uses the prefix, so no header of callers or targets is lost.
pub(super) fn strip_internal_headers(headers: &mut HeaderMap) {
    while let Some(name) = find_internal(headers) {
        headers.remove(name);
    }
}

fn find_internal(headers: &HeaderMap) -> Option<HeaderName> {
    let is_internal = |name: &&HeaderName| name.as_str().starts_with(INTERNAL_PREFIX);
    headers.keys().find(is_internal).cloned()
}

/// Removes the hop-by-hop headers.
pub(super) fn strip_hop_by_hop(headers: &mut HeaderMap) {
    strip_named_by_connection(headers);
    for name in &HOP_BY_HOP {
        headers.remove(name);
    }
}

/// Removes the headers that the `connection` header names as hop-by-hop.
fn strip_named_by_connection(headers: &mut HeaderMap) {
    let Some(value) = headers.get(header::CONNECTION) else {
        return;
    };
    let Ok(list) = value.to_str() else {
        return;
    };
    let named: Vec<HeaderName> = list
        .split(',')
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
}

/// Whether a caller closes its HTTP/1 connection after this request.
pub(super) fn asks_to_close<B>(req: &Request<B>) -> bool {
    let values = req.headers().get_all(header::CONNECTION).iter();
    let options = values.filter_map(|value| value.to_str().ok());
    let mut options = options.flat_map(|value| value.split(','));
    let asks = options.any(|option| option.trim().eq_ignore_ascii_case("close"));
    asks || req.version() == Version::HTTP_10
}

/// Copies the authority of an HTTP/2 request into the `host` header, which targets read.
pub(super) fn set_host(headers: &mut HeaderMap, uri: &Uri) {
    if headers.contains_key(header::HOST) {
        return;
    }
    let Some(authority) = uri.authority() else {
        return;
    };
    if let Ok(value) = HeaderValue::from_str(authority.as_str()) {
        headers.insert(header::HOST, value);
    }
}

/// Parses the value of a numeric header.
pub(super) fn parse_number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

/// Parses the value of a header with a rate of requests.
pub(super) fn parse_rate(headers: &HeaderMap, name: &HeaderName) -> Option<RequestRate> {
    let text = headers.get(name)?.to_str().ok()?;
    RequestRate::parse(text).ok()
}

/// The value of a header with a rate of requests.
pub(super) fn decimal(rate: RequestRate) -> HeaderValue {
    let value = HeaderValue::try_from(rate.to_string());
    // INVARIANT: A number is written in digits and a point, which are valid.
    value.unwrap_or(HeaderValue::from_static("0"))
}

/// The size of a request's head in bytes, as HTTP/1.1 writes it without optional whitespace.
pub(super) fn size<B>(req: &Request<B>) -> usize {
    let target = req.uri().path_and_query();
    let target = target.map_or(1, |target| target.as_str().len());
    // Two spaces, the version and the end of the line; after the fields an empty line.
    let framing = " ".len() * 2 + "HTTP/1.1\r\n".len() + "\r\n".len();
    let fields = req.headers().iter();
    let fields = fields.map(|(name, value)| name.as_str().len() + value.len() + ": \r\n".len());
    req.method().as_str().len() + target + framing + fields.sum::<usize>()
}

/// The host of a request, from its `host` header or else its URI.
pub(super) fn host<B>(req: &Request<B>) -> Option<&str> {
    let named = req.headers().get(header::HOST);
    let named = named.and_then(|host| host.to_str().ok());
    named.or_else(|| req.uri().host())
}
