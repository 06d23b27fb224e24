//! Asking a starting target whether it is ready.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt;
use http::Request;
use http::StatusCode;
use http::header::CONNECTION;
use http::header::HOST;
use http_body_util::Empty;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::settings::TargetSettings;

/// How long one probe may take.
const PROBE_LIMIT: Duration = Duration::from_secs(1);

/// Waits until the target answers 200 on its ready path.
///
/// That it does so is only believed once. A target's later word on its health
/// lags or misleads, and what its requests come to says more.
pub(super) async fn until_ready(target: TargetSettings) {
    let Some(path) = &target.ready_path else {
        return;
    };
    loop {
        let probe = timeout(PROBE_LIMIT, status(target.addr, path));
        if let Ok(Some(StatusCode::OK)) = probe.await {
            return;
        }
        tokio::time::sleep(target.probe).await;
    }
}

/// The status of one answer, over a connection of its own.
async fn status(addr: SocketAddr, path: &str) -> Option<StatusCode> {
    let io = TcpStream::connect(addr).await.ok()?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(io)).await.ok()?;
    let req = Request::get(path)
        .header(HOST, addr.to_string())
        .header(CONNECTION, "close")
        .body(Empty::<Bytes>::new())
        .ok()?;
    let answer = async { sender.send_request(req).await.ok() };
    let driven = connection.map(drop);
    tokio::pin!(answer);
    tokio::select! {
        res = &mut answer => res.map(|res| res.status()),
        () = driven => answer.now_or_never().flatten().map(|res| res.status()),
    }
}
