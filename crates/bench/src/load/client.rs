//! Callers' connections.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use sassafrasspool_core::Outcome;
use sassafrasspool_standin::target::RECEIVED_BYTES_HEADER;
use sassafrasspool_standin::target::answer_body;
use sassafrasspool_wire::header;
use tokio::net::TcpStream;

use super::ending::Ending;
use super::request::Attempt;

/// How long a connection may take to open.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

type Sender = SendRequest<Full<Bytes>>;

/// Connections to nodes or targets, kept open between calls.
///
/// It never sends a request again that may have left: only one that the
/// library hands back unsent goes out on another connection.
#[derive(Debug, Default)]
pub struct Client {
    idle: Arc<Mutex<Idle>>,
}

/// Open connections that no call uses.
type Idle = HashMap<SocketAddr, Vec<Sender>>;

/// What came back on one attempt.
#[derive(Debug, Clone, PartialEq)]
pub struct Exchange {
    /// The node that took the connection.
    pub entry: Option<SocketAddr>,
    /// The status, if an answer began.
    pub status: Option<u16>,
    /// How it ended.
    pub ending: Ending,
    /// What went wrong, for a person.
    pub detail: String,
}

impl Exchange {
    /// Nothing was sent.
    pub(super) fn not_sent() -> Exchange {
        Exchange {
            entry: None,
            status: None,
            ending: Ending::NotSent,
            detail: String::new(),
        }
    }
}

impl Client {
    /// Sends an attempt to the first of `addrs` that takes a connection and
    /// waits for the end of the answer, at most `patience`.
    pub async fn exchange(
        &self,
        addrs: &[SocketAddr],
        attempt: &Attempt,
        patience: Duration,
    ) -> Exchange {
        let mut begun = Exchange::not_sent();
        let sent = self.send(addrs, attempt, &mut begun);
        if tokio::time::timeout(patience, sent).await.is_err() {
            begun.ending = match (begun.entry, begun.status) {
                (None, _) => Ending::NotSent,
                (_, None) => Ending::Silence,
                (_, Some(_)) => Ending::Broken,
            };
            begun.detail = "patience ended".to_owned();
        }
        begun
    }

    async fn send(&self, addrs: &[SocketAddr], attempt: &Attempt, begun: &mut Exchange) {
        for &addr in addrs {
            let Ok(mut req) = attempt.request(&addr.to_string()) else {
                return;
            };
            while let Ok(mut sender) = self.connection(addr).await {
                begun.entry = Some(addr);
                let mut err = match sender.try_send_request(req).await {
                    Ok(answer) => return self.read(addr, sender, answer, attempt, begun).await,
                    Err(err) => err,
                };
                let Some(unsent) = err.take_message() else {
                    begun.ending = Ending::Silence;
                    begun.detail = format!("{:?}", err.into_error());
                    return;
                };
                begun.entry = None;
                req = unsent;
            }
        }
    }

    async fn read(
        &self,
        addr: SocketAddr,
        sender: Sender,
        answer: Response<Incoming>,
        attempt: &Attempt,
        begun: &mut Exchange,
    ) {
        let (head, body) = answer.into_parts();
        begun.status = Some(head.status.as_u16());
        let body = match collect(body).await {
            Ok(body) => body,
            Err(err) => {
                begun.ending = Ending::Broken;
                begun.detail = format!("{err:?}");
                return;
            }
        };
        self.keep(addr, sender);
        begun.ending = match header::outcome(&head.headers) {
            Some(Outcome::NotRun) => Ending::NotRun,
            Some(Outcome::Unknown) => Ending::Unknown,
            None if head.status != StatusCode::OK => Ending::Failed,
            None => {
                let received = head.headers.get(RECEIVED_BYTES_HEADER);
                let received = received.and_then(|value| value.to_str().ok()?.parse().ok());
                check_answer(attempt, &body, received)
            }
        };
        if begun.ending != Ending::Answered {
            begun.detail = String::from_utf8_lossy(&body[..body.len().min(200)]).into_owned();
        }
    }

    async fn connection(&self, addr: SocketAddr) -> std::io::Result<Sender> {
        while let Some(sender) = self.idle(addr) {
            if sender.is_ready() {
                return Ok(sender);
            }
        }
        connect(addr).await
    }

    fn idle(&self, addr: SocketAddr) -> Option<Sender> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.get_mut(&addr)?.pop()
    }

    /// Keeps a connection whose answer was read. The library takes a moment
    /// until it is ready again, for which a task waits.
    fn keep(&self, addr: SocketAddr, mut sender: Sender) {
        let idle = Arc::clone(&self.idle);
        tokio::spawn(async move {
            if sender.ready().await.is_ok() {
                let mut idle = idle.lock().unwrap_or_else(PoisonError::into_inner);
                idle.entry(addr).or_default().push(sender);
            }
        });
    }
}

/// Opens a connection, whose task ends with it.
async fn connect(addr: SocketAddr) -> std::io::Result<Sender> {
    let opened = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(addr));
    let io = opened.await.map_err(std::io::Error::other)??;
    io.set_nodelay(true)?;
    let handshake = http1::handshake(TokioIo::new(io)).await;
    let (sender, conn) = handshake.map_err(std::io::Error::other)?;
    tokio::spawn(conn);
    Ok(sender)
}

async fn collect(mut body: Incoming) -> hyper::Result<BytesMut> {
    let mut whole = BytesMut::new();
    while let Some(frame) = body.frame().await {
        if let Some(data) = frame?.data_ref() {
            whole.extend_from_slice(data);
        }
    }
    Ok(whole)
}

/// Whether `body` is the whole answer to `attempt`, made from the whole
/// request: the target echoes the id, a pattern that follows from it, and how
/// much it received.
fn check_answer(attempt: &Attempt, body: &[u8], received: Option<usize>) -> Ending {
    let id = body.split(|byte| *byte == b'\n').next().unwrap_or_default();
    let Ok(id) = str::from_utf8(id) else {
        return Ending::Wrong;
    };
    let own = attempt.is_answered_by(id);
    let whole = body == answer_body(id, attempt.answer_bytes);
    let sent_whole = received.is_none_or(|received| received == attempt.request_bytes);
    match own && whole && sent_whole {
        true => Ending::Answered,
        false => Ending::Wrong,
    }
}
