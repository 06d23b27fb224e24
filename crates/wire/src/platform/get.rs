//! GET requests over one kept connection.

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

use crate::Counted;
use crate::SocketBytes;
use crate::chain::error_chain;
use crate::keep_alive;

/// The largest head of an answer, in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// How long a connection may take to open: far above a round trip, and short
/// against the seconds within which a change has to be in force.
const CONNECT_LIMIT: Duration = Duration::from_secs(2);

/// What a platform answered.
#[derive(Debug)]
pub struct Fetched {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its whole body.
    pub body: Bytes,
}

/// Asks a platform over at most one connection, one request at a time.
#[derive(Debug)]
pub struct HttpGet {
    addr: SocketAddr,
    bytes: Arc<SocketBytes>,
    max_bytes: usize,
    open: Mutex<Option<SendRequest<Empty<Bytes>>>>,
}

impl HttpGet {
    /// A client of the platform at `addr`, whose bytes are counted in `bytes`
    /// and whose answers may have bodies of `max_bytes`.
    pub fn new(addr: SocketAddr, bytes: Arc<SocketBytes>, max_bytes: usize) -> HttpGet {
        HttpGet {
            addr,
            bytes,
            max_bytes,
            open: Mutex::new(None),
        }
    }

    /// The address that it asks.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Asks once and reads the answer to its end.
    ///
    /// # Errors
    ///
    /// Fails, naming the step and the address, if no whole answer has come
    /// within `limit` or it is too large.
    pub async fn get(
        &self,
        uri: &str,
        header: Option<(HeaderName, HeaderValue)>,
        limit: Duration,
    ) -> Result<Fetched> {
        let asked = timeout(limit, self.try_get(uri, header)).await;
        asked.unwrap_or_else(|_| {
            let reason = format!("no answer within {} ms", limit.as_millis());
            Err(Error::new(Step::Source, reason).at_peer(self.addr))
        })
    }

    async fn try_get(
        &self,
        uri: &str,
        header: Option<(HeaderName, HeaderValue)>,
    ) -> Result<Fetched> {
        // Taken out while in use: a read that is given up drops it, which
        // closes the connection, so that its late answer meets nobody.
        let mut slot = self.open.lock().await;
        let mut sender = match slot.take() {
            Some(sender) if !sender.is_closed() => sender,
            _ => self.connect().await?,
        };
        let mut req = Request::get(uri).header(HOST, self.addr.to_string());
        if let Some((name, value)) = header {
            req = req.header(name, value);
        }
        let req = req
            .body(Empty::new())
            .map_err(|cause| self.failed("can't be asked").with_cause(cause))?;
        let failed = |cause: hyper::Error| self.failed(&error_chain(&cause));
        let res = sender.send_request(req).await.map_err(failed)?;
        let (head, body) = res.into_parts();
        let limited = Limited::new(body, self.max_bytes);
        let collected = limited.collect().await;
        let body = collected
            .map_err(|cause| self.failed("answer not whole").with_cause(cause))?
            .to_bytes();
        *slot = Some(sender);
        Ok(Fetched {
            status: head.status,
            headers: head.headers,
            body,
        })
    }

    async fn connect(&self) -> Result<SendRequest<Empty<Bytes>>> {
        let failed = |reason: &str| Error::new(Step::Connect, reason).at_peer(self.addr);
        let io = timeout(CONNECT_LIMIT, TcpStream::connect(self.addr))
            .await
            .map_err(|_| failed("not open in time"))?
            .map_err(|cause| failed("refused").with_cause(cause))?;
        keep_alive(&io).map_err(|cause| failed("no keep-alive").with_cause(cause))?;
        let io = TokioIo::new(Counted::new(io, Arc::clone(&self.bytes)));
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake::<_, Empty<Bytes>>(io)
            .await
            .map_err(|cause| failed("no handshake").with_cause(cause))?;
        tokio::spawn(connection.map(drop));
        Ok(sender)
    }

    fn failed(&self, reason: &str) -> Error {
        Error::new(Step::Source, reason).at_peer(self.addr)
    }
}
