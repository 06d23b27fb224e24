//! What a request asks for.

use http::Request;
use sassafrasspool_core::Content;

use super::head;
use super::payload::Payload;

/// What a request asks for, whoever sends it.
///
/// A body that isn't held is passed on as it comes, so that its length stands for it.
pub(super) fn of(req: &Request<Payload>) -> Content {
    let uri = req.uri();
    let host = head::host(req).unwrap_or_default();
    let method = req.method().as_str();
    let with = |body: &[u8]| Content::of(method, host, uri.path(), uri.query(), body);
    match req.body() {
        Payload::Held(held) => with(held.bytes()),
        Payload::Stream { .. } => with(format!("{:?} bytes", req.body().to_come()).as_bytes()),
    }
}
