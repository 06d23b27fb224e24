//! A caller that uses one connection for each request and never retries.

use std::net::SocketAddr;

use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// The body of a request.
pub(crate) type Body = Full<Bytes>;

/// A request for `path` without a body.
pub(crate) fn get(path: &str, id: &str) -> Request<Body> {
    Request::get(path)
        .header("host", "desk.example")
        .header("x-request-id", id)
        .body(Body::default())
        .expect("a request")
}

/// A connection that is kept.
pub(crate) struct Kept(http1::SendRequest<Body>);

/// Opens a connection.
pub(crate) async fn connect(addr: SocketAddr) -> Kept {
    let stream = TcpStream::connect(addr).await.expect("a connection");
    stream.set_nodelay(true).expect("a socket option");
    let handshake = http1::handshake(TokioIo::new(stream));
    let (sender, conn) = handshake.await.expect("a connection");
    tokio::spawn(conn);
    Kept(sender)
}

impl Kept {
    /// Gets the whole answer.
    pub(crate) async fn call(&mut self, req: Request<Body>) -> hyper::Result<Response<Bytes>> {
        self.0.ready().await?;
        let (head, body) = self.0.send_request(req).await?.into_parts();
        let whole = body.collect().await?.to_bytes();
        Ok(Response::from_parts(head, whole))
    }
}

/// Gets the head of the answer and a body that may still come.
pub(crate) async fn begin(
    addr: SocketAddr,
    req: Request<Body>,
) -> hyper::Result<Response<Incoming>> {
    let Kept(mut sender) = connect(addr).await;
    sender.send_request(req).await
}

/// Gets the whole answer.
pub(crate) async fn call(addr: SocketAddr, req: Request<Body>) -> hyper::Result<Response<Bytes>> {
    let (head, body) = begin(addr, req).await?.into_parts();
    let whole = body.collect().await?.to_bytes();
    Ok(Response::from_parts(head, whole))
}

/// A header of an answer as text, empty if it isn't there.
pub(crate) fn header<'a, B>(res: &'a Response<B>, name: &str) -> &'a str {
    let value = res.headers().get(name);
    value.map_or("", |value| value.to_str().expect("text"))
}
