//! Heads of requests and answers: what may pass from one side to the other.

use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Request;
use http::Uri;
use http::header;
use sassafrasspool_wire::header::OWN_PREFIX;

/// Headers that concern one connection only and end with it.
const CONNECTION_ONLY: [HeaderName; 7] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Removes what only nodes may set.
///
/// Without this a caller or a target could forge an outcome, a deadline or a
/// hop count: a target that said `not-run` about work that it did would have
/// it run twice. The names are ours alone, so that nothing of theirs is lost.
pub(super) fn strip_own(headers: &mut HeaderMap) {
    while let Some(name) = find_own(headers) {
        headers.remove(name);
    }
}

fn find_own(headers: &HeaderMap) -> Option<HeaderName> {
    let own = |name: &&HeaderName| name.as_str().starts_with(OWN_PREFIX);
    headers.keys().find(own).cloned()
}

/// Removes what ends with the connection that it came by.
pub(super) fn strip_connection(headers: &mut HeaderMap) {
    strip_named_by_connection(headers);
    for name in &CONNECTION_ONLY {
        headers.remove(name);
    }
}

/// Removes the headers that `connection` names as its own.
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

/// Puts what HTTP/2 carries as the authority into `host`, which targets read.
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

/// Reads a header that holds a number.
pub(super) fn number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

/// The host that a request names, in its address or its header.
pub(super) fn host<B>(req: &Request<B>) -> Option<&str> {
    let named = req.headers().get(header::HOST);
    let named = named.and_then(|host| host.to_str().ok());
    named.or_else(|| req.uri().host())
}
