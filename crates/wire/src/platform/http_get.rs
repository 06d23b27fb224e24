//! HTTP GET requests over one kept connection.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Request;
use http::StatusCode;
use http::header::HOST;
use http_body_util::BodyExt;
use http_body_util::Empty;
use http_body_util::Limited;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use sassafrasspool_core::Error;
use sassafrasspool_core::Result;
use sassafrasspool_core::Step;
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::time::timeout;

use crate::LineEndings;
use crate::ServerStream;
use crate::SocketBytes;
use crate::enable_keep_alive;
use crate::error_chain::error_chain;
use crate::response_head::validate_response_head;

/// The largest response head in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// Timeout of opening a connection. It is far above a round trip and short compared to
/// the seconds within which a change has to be in force.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// The response of a platform.
#[derive(Debug)]
pub struct HttpResponse {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

/// Sends GET requests to a platform over at most one connection, one request at a time.
#[derive(Debug)]
pub struct HttpGetClient {
    addr: SocketAddr,
    bytes: Arc<SocketBytes>,
    max_body_bytes: usize,
    idle: Mutex<Option<Connection>>,
}

/// A connection on which no response is awaited.
#[derive(Debug)]
struct Connection {
    sender: SendRequest<Empty<Bytes>>,
    lines: LineEndings,
}

impl HttpGetClient {
    /// A client of the platform at `addr`. Its bytes are counted in `bytes`, and response
    /// bodies may have up to `max_body_bytes`.
    pub fn new(addr: SocketAddr, bytes: Arc<SocketBytes>, max_body_bytes: usize) -> HttpGetClient {
        HttpGetClient {
            addr,
            bytes,
            max_body_bytes,
            idle: Mutex::new(None),
        }
    }

    /// The address of the platform.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sends a request and reads the whole response.
    ///
    /// # Errors
    ///
    /// Fails, naming the step and the address, if no complete response arrives within
    /// `limit`, or if it is malformed or too large.
    pub async fn get(
        &self,
        uri: &str,
        header: Option<(HeaderName, HeaderValue)>,
        limit: Duration,
    ) -> Result<HttpResponse> {
        let result = timeout(limit, self.try_get(uri, header)).await;
        result.unwrap_or_else(|_| {
            let reason = format!("no response within {} ms", limit.as_millis());
            Err(Error::new(Step::Source, reason).at_peer(self.addr))
        })
    }

    async fn try_get(
        &self,
        uri: &str,
        header: Option<(HeaderName, HeaderValue)>,
    ) -> Result<HttpResponse> {
        // The connection is removed while in use. A read that is cancelled drops it, which
        // closes the connection, so that a late response isn't read as a later one.
        let mut idle = self.idle.lock().await;
        let mut conn = match idle.take() {
            Some(conn) if !conn.sender.is_closed() => conn,
            _ => self.connect().await?,
        };
        let mut req = Request::get(uri).header(HOST, self.addr.to_string());
        if let Some((name, value)) = header {
            req = req.header(name, value);
        }
        let req = req
            .body(Empty::new())
            .map_err(|cause| self.source_error("invalid request").with_cause(cause))?;
        let failed = |cause: hyper::Error| self.source_error(&error_chain(&cause));
        conn.lines.expect_head();
        let mut res = conn.sender.send_request(req).await.map_err(failed)?;
        let valid = conn.lines.check();
        valid
            .and_then(|()| validate_response_head(&mut res))
            .map_err(|cause| self.source_error("malformed response").with_cause(cause))?;
        let (head, body) = res.into_parts();
        let limited = Limited::new(body, self.max_body_bytes);
        let collected = limited.collect().await;
        let body = collected
            .map_err(|cause| self.source_error("response incomplete").with_cause(cause))?
            .to_bytes();
        *idle = Some(conn);
        Ok(HttpResponse {
            status: head.status,
            headers: head.headers,
            body,
        })
    }

    async fn connect(&self) -> Result<Connection> {
        let failed = |reason: &str| Error::new(Step::Connect, reason).at_peer(self.addr);
        let io = timeout(CONNECT_TIMEOUT, TcpStream::connect(self.addr))
            .await
            .map_err(|_| failed("connecting timed out"))?
            .map_err(|cause| failed("connection refused").with_cause(cause))?;
        enable_keep_alive(&io)
            .map_err(|cause| failed("can't enable keep-alive").with_cause(cause))?;
        let lines = LineEndings::default();
        let observers = (Arc::clone(&self.bytes), lines.clone());
        let io = TokioIo::new(ServerStream::new(io, observers));
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake::<_, Empty<Bytes>>(io)
            .await
            .map_err(|cause| failed("HTTP handshake failed").with_cause(cause))?;
        tokio::spawn(connection.map(drop));
        Ok(Connection { sender, lines })
    }

    fn source_error(&self, reason: &str) -> Error {
        Error::new(Step::Source, reason).at_peer(self.addr)
    }
}
