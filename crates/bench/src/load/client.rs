//! The callers' HTTP client.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http::HeaderMap;
use http::Response;
use http::StatusCode;
use http::header::RETRY_AFTER;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use sassafrasspool_core::Outcome;
use sassafrasspool_standin::target::MALFORMED_HEADER;
use sassafrasspool_standin::target::RECEIVED_BYTES_HEADER;
use sassafrasspool_standin::target::answer_body;
use sassafrasspool_wire::header;
use tokio::net::TcpStream;

use super::ending::Ending;
use super::read_pace::ReadPace;
use super::request::Attempt;

/// How long a connection may take to open.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

type Sender = SendRequest<Full<Bytes>>;

/// Connections to nodes or targets, kept open between calls.
///
/// It never resends a request that may have been sent. Only a request that the
/// library returns unsent goes out on another connection.
#[derive(Debug, Default)]
pub struct Client {
    idle: Arc<Mutex<IdleConnections>>,
}

/// Open connections that no call is using.
type IdleConnections = HashMap<SocketAddr, Vec<Sender>>;

/// The result of one attempt.
#[derive(Debug, Clone, PartialEq)]
pub struct Exchange {
    /// The node or target that accepted the connection.
    pub entry: Option<SocketAddr>,
    /// The status, if an answer began.
    pub status: Option<u16>,
    /// How the attempt ended.
    pub ending: Ending,
    /// Bytes of the answer's body that were received.
    pub received_bytes: usize,
    /// When the caller may come back, if the answer says so.
    pub retry_after: Option<Duration>,
    /// What went wrong, as text; empty if nothing did.
    pub detail: String,
}

impl Exchange {
    /// The result of an attempt that was never sent.
    pub(super) fn not_sent() -> Exchange {
        Exchange {
            entry: None,
            status: None,
            ending: Ending::NotSent,
            received_bytes: 0,
            retry_after: None,
            detail: String::new(),
        }
    }
}

impl Client {
    /// Sends an attempt to the first of `addrs` that accepts a connection and
    /// waits for the end of the answer, at most `timeout`.
    pub async fn exchange(
        &self,
        addrs: &[SocketAddr],
        attempt: &Attempt,
        timeout: Duration,
    ) -> Exchange {
        let mut exchange = Exchange::not_sent();
        let sent = self.send(addrs, attempt, &mut exchange);
        if tokio::time::timeout(timeout, sent).await.is_err() {
            exchange.ending = match (exchange.entry, exchange.status) {
                (None, _) => Ending::NotSent,
                (_, None) => Ending::Silence,
                (_, Some(_)) => Ending::Broken,
            };
            let received = exchange.received_bytes;
            exchange.detail = format!("patience ended after {received} bytes of the answer");
        }
        exchange
    }

    async fn send(&self, addrs: &[SocketAddr], attempt: &Attempt, exchange: &mut Exchange) {
        for &addr in addrs {
            let Ok(mut req) = attempt.request(&addr.to_string()) else {
                return;
            };
            while let Ok(mut sender) = self.connection(addr).await {
                exchange.entry = Some(addr);
                let mut err = match sender.try_send_request(req).await {
                    Ok(answer) => {
                        return self
                            .read_answer(addr, sender, answer, attempt, exchange)
                            .await;
                    }
                    Err(err) => err,
                };
                let Some(unsent) = err.take_message() else {
                    exchange.ending = Ending::Silence;
                    exchange.detail = format!("{:?}", err.into_error());
                    return;
                };
                exchange.entry = None;
                req = unsent;
            }
        }
    }

    async fn read_answer(
        &self,
        addr: SocketAddr,
        sender: Sender,
        answer: Response<Incoming>,
        attempt: &Attempt,
        exchange: &mut Exchange,
    ) {
        let (head, body) = answer.into_parts();
        exchange.status = Some(head.status.as_u16());
        exchange.retry_after = retry_after(&head.headers);
        let read = read_to_end(body, attempt.read_pace, &mut exchange.received_bytes);
        let body = match read.await {
            Ok(body) => body,
            Err(err) => {
                exchange.ending = Ending::Broken;
                exchange.detail = format!("{err:?}");
                return;
            }
        };
        self.keep_idle(addr, sender);
        exchange.ending = match header::parse_outcome(&head.headers) {
            Some(Outcome::NotRun) => Ending::NotRun,
            Some(Outcome::Unknown) => Ending::Unknown,
            None if head.headers.contains_key(MALFORMED_HEADER) => Ending::Wrong,
            None if head.status != StatusCode::OK => Ending::Failed,
            None => {
                let received = head.headers.get(RECEIVED_BYTES_HEADER);
                let received = received.and_then(|value| value.to_str().ok()?.parse().ok());
                check_answer(attempt, &body, received)
            }
        };
        if exchange.ending != Ending::Answered {
            exchange.detail = String::from_utf8_lossy(&body[..body.len().min(200)]).into_owned();
        }
    }

    async fn connection(&self, addr: SocketAddr) -> std::io::Result<Sender> {
        while let Some(sender) = self.pop_idle(addr) {
            if sender.is_ready() {
                return Ok(sender);
            }
        }
        connect(addr).await
    }

    fn pop_idle(&self, addr: SocketAddr) -> Option<Sender> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.get_mut(&addr)?.pop()
    }

    /// Keeps a connection whose answer was read, for later calls. A task waits
    /// until the library reports it ready again.
    fn keep_idle(&self, addr: SocketAddr, mut sender: Sender) {
        let idle = Arc::clone(&self.idle);
        tokio::spawn(async move {
            if sender.ready().await.is_ok() {
                let mut idle = idle.lock().unwrap_or_else(PoisonError::into_inner);
                idle.entry(addr).or_default().push(sender);
            }
        });
    }
}

/// Opens a connection and spawns the task that drives it.
async fn connect(addr: SocketAddr) -> std::io::Result<Sender> {
    let opened = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(addr));
    let io = opened.await.map_err(std::io::Error::other)??;
    io.set_nodelay(true)?;
    let handshake = http1::handshake(TokioIo::new(io)).await;
    let (sender, conn) = handshake.map_err(std::io::Error::other)?;
    tokio::spawn(conn);
    Ok(sender)
}

/// Reads a body, and keeps `received_bytes` up to date in case that the read is dropped.
async fn read_to_end(
    mut body: Incoming,
    pace: ReadPace,
    received_bytes: &mut usize,
) -> hyper::Result<BytesMut> {
    let mut bytes = BytesMut::new();
    let mut pauses = 0;
    let mut pause_at = pace.bytes;
    while let Some(frame) = body.frame().await {
        if let Some(data) = frame?.data_ref() {
            bytes.extend_from_slice(data);
            *received_bytes = bytes.len();
        }
        if pauses < pace.max_pauses && bytes.len() >= pause_at {
            tokio::time::sleep(pace.pause).await;
            pauses += 1;
            pause_at = bytes.len() + pace.bytes;
        }
    }
    Ok(bytes)
}

/// The seconds after which the caller may come back; `None` if absent or malformed.
fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let secs = headers.get(RETRY_AFTER)?.to_str().ok()?.parse().ok()?;
    Duration::try_from_secs_f64(secs).ok()
}

/// Checks that `body` is the complete answer to `attempt` and that the target
/// received the complete request. The target echoes the request id, sends a pattern
/// derived from it, and reports how many bytes it received.
fn check_answer(attempt: &Attempt, body: &[u8], received: Option<usize>) -> Ending {
    let id = body.split(|byte| *byte == b'\n').next().unwrap_or_default();
    let Ok(id) = str::from_utf8(id) else {
        return Ending::Wrong;
    };
    let is_own = attempt.is_answered_by(id);
    let is_complete = body == answer_body(id, attempt.answer_bytes);
    let request_complete = received.is_none_or(|received| received == attempt.request_bytes);
    match is_own && is_complete && request_complete {
        true => Ending::Answered,
        false => Ending::Wrong,
    }
}
