//! A caller with a connection of its own, and helpers that wait for conditions.

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

/// The maximum time for a condition to become true, which is far more than any needs.
const MAX_WAIT: Duration = Duration::from_secs(20);

/// The interval of checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Starts a target on free ports.
pub(crate) async fn start(cfg: TargetSettings) -> Target {
    Target::start(cfg, CancellationToken::new()).await.unwrap()
}

/// The settings of a target with a service time of `us` microseconds.
pub(crate) fn with_service_time_us(us: u64) -> TargetSettings {
    let service = ServiceTimes {
        default_us: us,
        ..ServiceTimes::default()
    };
    TargetSettings {
        service,
        ..TargetSettings::default()
    }
}

/// Sends a request from a task and returns when `target` has begun to run it.
pub(crate) async fn spawn_running_request(
    target: &Target,
) -> JoinHandle<hyper::Result<Response<Bytes>>> {
    let req = request("/a").body(Full::default()).unwrap();
    let answer = Caller::connect(target.addr()).await.spawn_send(req);
    wait_until(|| target.ledger().runs.iter().any(Run::began)).await;
    answer
}

/// Waits until `condition` is true.
pub(crate) async fn wait_until(mut condition: impl FnMut() -> bool) {
    let wait = async {
        while !condition() {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    tokio::time::timeout(MAX_WAIT, wait)
        .await
        .expect("the condition becomes true in time");
}

/// A caller with one connection, which is closed on drop.
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

    /// Sends a request and receives the complete answer.
    pub(crate) async fn send(
        &mut self,
        req: Request<Full<Bytes>>,
    ) -> hyper::Result<Response<Bytes>> {
        self.sender.ready().await?;
        let (head, body) = self.sender.send_request(req).await?.into_parts();
        let body = body.collect().await?.to_bytes();
        Ok(Response::from_parts(head, body))
    }

    /// Requests `path` and receives the complete answer.
    pub(crate) async fn get(&mut self, path: &str) -> hyper::Result<Response<Bytes>> {
        self.send(request(path).body(Full::default()).unwrap())
            .await
    }

    /// Sends a request from a task. Aborting the task closes the connection.
    pub(crate) fn spawn_send(
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

/// Whether a new connection is refused, or closed before anything is sent over it.
pub(crate) async fn is_closed_on_arrival(addr: SocketAddr) -> bool {
    let Ok(mut io) = TcpStream::connect(addr).await else {
        return true;
    };
    let read = tokio::time::timeout(MAX_WAIT, io.read(&mut [0])).await;
    matches!(read, Ok(Ok(0) | Err(_)))
}

/// A request for `path` with the id `r-1`.
pub(crate) fn request(path: &str) -> http::request::Builder {
    Request::get(path)
        .header("host", "target")
        .header("x-request-id", "r-1")
}
