//! A client that opens a connection for each request, or reuses one, and never retries.

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

/// A GET request for `path` with this request id.
pub(crate) fn get(path: &str, id: &str) -> Request<Body> {
    Request::get(path)
        .header("host", "desk.example")
        .header("x-request-id", id)
        .body(Body::default())
        .expect("a valid request")
}

/// A connection that can be used for several requests.
pub(crate) struct Connection(http1::SendRequest<Body>);

/// Opens a connection.
pub(crate) async fn connect(addr: SocketAddr) -> Connection {
    let stream = TcpStream::connect(addr).await.expect("a connection");
    stream.set_nodelay(true).expect("a socket option");
    let handshake = http1::handshake(TokioIo::new(stream));
    let (sender, conn) = handshake.await.expect("a connection");
    tokio::spawn(conn);
    Connection(sender)
}

impl Connection {
    /// Sends a request on this connection; returns the whole answer.
    pub(crate) async fn call(&mut self, req: Request<Body>) -> hyper::Result<Response<Bytes>> {
        self.0.ready().await?;
        let (head, body) = self.0.send_request(req).await?.into_parts();
        let whole = body.collect().await?.to_bytes();
        Ok(Response::from_parts(head, whole))
    }
}

/// Sends a request on a new connection; returns the head of the answer, and the body to
/// read.
pub(crate) async fn send(
    addr: SocketAddr,
    req: Request<Body>,
) -> hyper::Result<Response<Incoming>> {
    let Connection(mut sender) = connect(addr).await;
    sender.send_request(req).await
}

/// Sends a request on a new connection; returns the whole answer.
pub(crate) async fn call(addr: SocketAddr, req: Request<Body>) -> hyper::Result<Response<Bytes>> {
    let (head, body) = send(addr, req).await?.into_parts();
    let whole = body.collect().await?.to_bytes();
    Ok(Response::from_parts(head, whole))
}

/// A header of an answer as text, empty if it is absent.
pub(crate) fn header<'a, B>(res: &'a Response<B>, name: &str) -> &'a str {
    let value = res.headers().get(name);
    value.map_or("", |value| value.to_str().expect("valid UTF-8"))
}
