//! A caller with one connection of its own, and waiting for conditions.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use sassafrasspool_standin::Target;
use sassafrasspool_standin::TargetSettings;
use sassafrasspool_standin::target::Run;
use sassafrasspool_standin::target::ServiceTimes;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

/// How long a condition may take to become true; far more than it needs.
const MOST_WAIT: Duration = Duration::from_secs(20);

/// How often a condition is looked at.
const LOOK_EVERY: Duration = Duration::from_millis(2);

/// Starts a target on free ports.
pub(crate) async fn start(cfg: TargetSettings) -> Target {
    Target::start(cfg, CancellationToken::new()).await.unwrap()
}

/// The settings of a target whose runs take `us` microseconds.
pub(crate) fn working_for(us: u64) -> TargetSettings {
    let service = ServiceTimes {
        default_us: us,
        ..ServiceTimes::default()
    };
    TargetSettings {
        service,
        ..TargetSettings::default()
    }
}

/// Sends a request that `target` has begun to work on when this returns.
pub(crate) async fn keep_busy(target: &Target) -> JoinHandle<hyper::Result<Response<Bytes>>> {
    let req = request("/a").body(Full::default()).unwrap();
    let answer = Caller::connect(target.addr()).await.send_apart(req);
    until(|| target.ledger().runs.iter().any(Run::began)).await;
    answer
}

/// Waits until `condition` is true.
pub(crate) async fn until(mut condition: impl FnMut() -> bool) {
    let wait = async {
        while !condition() {
            tokio::time::sleep(LOOK_EVERY).await;
        }
    };
    tokio::time::timeout(MOST_WAIT, wait)
        .await
        .expect("the condition became true");
}

/// A caller with one connection, which closes when it is dropped.
#[derive(Debug)]
pub(crate) struct Caller {
    sender: SendRequest<Full<Bytes>>,
    conn: JoinHandle<()>,
}

impl Caller {
    /// Opens the connection.
    pub(crate) async fn connect(addr: SocketAddr) -> Caller {
        let io = TcpStream::connect(addr).await.unwrap();
        let (sender, conn) = http1::handshake(TokioIo::new(io)).await.unwrap();
        let conn = tokio::spawn(async move {
            let _ = conn.await;
        });
        Caller { sender, conn }
    }

    /// Sends a request and takes its whole answer.
    pub(crate) async fn send(
        &mut self,
        req: Request<Full<Bytes>>,
    ) -> hyper::Result<Response<Bytes>> {
        self.sender.ready().await?;
        let (head, body) = self.sender.send_request(req).await?.into_parts();
        let body = body.collect().await?.to_bytes();
        Ok(Response::from_parts(head, body))
    }

    /// Asks for `path` and takes the whole answer.
    pub(crate) async fn get(&mut self, path: &str) -> hyper::Result<Response<Bytes>> {
        self.send(request(path).body(Full::default()).unwrap())
            .await
    }

    /// Sends a request from a task, which closes the connection when aborted.
    pub(crate) fn send_apart(
        mut self,
        req: Request<Full<Bytes>>,
    ) -> JoinHandle<hyper::Result<Response<Bytes>>> {
        tokio::spawn(async move { self.send(req).await })
    }
}

impl Drop for Caller {
    fn drop(&mut self) {
        self.conn.abort();
    }
}

/// Whether a new connection is closed before anything is sent over it.
pub(crate) async fn is_closed_on_arrival(addr: SocketAddr) -> bool {
    let Ok(mut io) = TcpStream::connect(addr).await else {
        return true;
    };
    let read = tokio::time::timeout(MOST_WAIT, io.read(&mut [0])).await;
    matches!(read, Ok(Ok(0) | Err(_)))
}

/// A request for `path` with the id `r-1`.
pub(crate) fn request(path: &str) -> http::request::Builder {
    Request::get(path)
        .header("host", "target")
        .header("x-request-id", "r-1")
}
