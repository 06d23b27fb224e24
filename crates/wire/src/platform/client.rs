//! The client.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt;
use http::Request;
use http::header::ACCEPT_ENCODING;
use http::header::HOST;
use http_body_util::Empty;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use sassafrasspool_core::Error;
use sassafrasspool_core::Result;
use sassafrasspool_core::Revision;
use sassafrasspool_core::SourceResult;
use sassafrasspool_core::Step;
use sassafrasspool_core::Stream;
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::time::timeout;

use super::answer;
use crate::Counted;
use crate::SocketBytes;
use crate::chain::told;

/// How long a connection may take to open.
const CONNECT_LIMIT: Duration = Duration::from_secs(2);

/// How long an answer may take, beyond the time that the platform was asked
/// to wait for something newer.
const ANSWER_LIMIT: Duration = Duration::from_secs(5);

/// Reads the platform, over at most one connection for each stream.
#[derive(Debug)]
pub struct PlatformClient {
    addr: SocketAddr,
    bytes: Arc<SocketBytes>,
    open: [Mutex<Option<SendRequest<Empty<Bytes>>>>; Stream::ALL.len()],
}

impl PlatformClient {
    /// A client of the platform at `addr`, whose bytes are counted in `bytes`.
    pub fn new(addr: SocketAddr, bytes: Arc<SocketBytes>) -> PlatformClient {
        PlatformClient {
            addr,
            bytes,
            open: [Mutex::new(None), Mutex::new(None)],
        }
    }

    /// Reads a stream once: one call on the platform's count.
    ///
    /// With `after`, the platform is asked to hold the call up to `wait` until
    /// it has something newer. Whatever goes wrong is a result like others,
    /// since the reader goes on with what it holds.
    pub async fn read(
        &self,
        stream: Stream,
        after: Option<Revision>,
        wait: Duration,
    ) -> SourceResult {
        let limit = wait + ANSWER_LIMIT;
        let read = timeout(limit, self.try_read(stream, after, wait)).await;
        let read = read.unwrap_or_else(|_| {
            let reason = format!("no answer within {} ms", limit.as_millis());
            Err(Error::new(Step::Source, reason).at_peer(self.addr))
        });
        read.unwrap_or_else(|err| SourceResult::Failed {
            reason: err.to_string(),
        })
    }

    async fn try_read(
        &self,
        stream: Stream,
        after: Option<Revision>,
        wait: Duration,
    ) -> Result<SourceResult> {
        // Taken out while in use: a read that is given up drops it, which
        // closes the connection, so that its late answer meets nobody.
        let mut slot = self.open[stream as usize].lock().await;
        let mut sender = match slot.take() {
            Some(sender) if !sender.is_closed() => sender,
            _ => self.connect().await?,
        };
        let req = self.request(stream, after, wait)?;
        let failed = |cause: hyper::Error| self.failed(&told(&cause));
        let res = sender.send_request(req).await.map_err(failed)?;
        let result = answer::read(stream, res).await;
        let result = result.map_err(|err| err.at_peer(self.addr))?;
        *slot = Some(sender);
        Ok(result)
    }

    async fn connect(&self) -> Result<SendRequest<Empty<Bytes>>> {
        let failed = |reason: &str| Error::new(Step::Connect, reason).at_peer(self.addr);
        let io = timeout(CONNECT_LIMIT, TcpStream::connect(self.addr))
            .await
            .map_err(|_| failed("not open in time"))?
            .map_err(|cause| failed("refused").with_cause(cause))?;
        let io = TokioIo::new(Counted::new(io, Arc::clone(&self.bytes)));
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(answer::MAX_HEAD_BYTES)
            .handshake::<_, Empty<Bytes>>(io)
            .await
            .map_err(|cause| failed("no handshake").with_cause(cause))?;
        tokio::spawn(connection.map(drop));
        Ok(sender)
    }

    fn request(
        &self,
        stream: Stream,
        after: Option<Revision>,
        wait: Duration,
    ) -> Result<Request<Empty<Bytes>>> {
        let mut uri = format!("/v1/{stream}");
        if let Some(after) = after {
            uri.push_str(&format!("?after={after}&wait_ms={}", wait.as_millis()));
        }
        Request::get(uri)
            .header(HOST, self.addr.to_string())
            .header(ACCEPT_ENCODING, answer::CODING)
            .body(Empty::new())
            .map_err(|cause| self.failed("can't be asked").with_cause(cause))
    }

    fn failed(&self, reason: &str) -> Error {
        Error::new(Step::Source, reason).at_peer(self.addr)
    }
}

/// The body of an answer.
pub(super) type Body = Incoming;
