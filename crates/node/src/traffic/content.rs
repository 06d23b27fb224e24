//! The content of a request, independent of its sender.

use http::Request;
use sassafrasspool_core::Content;

use super::head;
use super::payload::Payload;

/// The content of a request, whoever sends it.
///
/// A body that isn't buffered is forwarded while it is received. Its length is used in
/// place of its bytes.
pub(super) fn of(req: &Request<Payload>) -> Content {
    let uri = req.uri();
    let host = head::host(req).unwrap_or_default();
    let method = req.method().as_str();
    let with_body = |body: &[u8]| Content::of(method, host, uri.path(), uri.query(), body);
    match req.body() {
        Payload::Buffered(body) => with_body(body.bytes()),
        Payload::Stream { .. } => {
            with_body(format!("{:?} bytes", req.body().streamed_bytes()).as_bytes())
        }
    }
}
