//! Asking a target whether it is ready, and how cold it is.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt;
use http::HeaderMap;
use http::Request;
use http::StatusCode;
use http::header::CONNECTION;
use http::header::HOST;
use http_body_util::Empty;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::Shared;
use crate::settings::TargetSettings;

#[cfg(test)]
mod tests;

/// How long one probe may take.
const PROBE_LIMIT: Duration = Duration::from_secs(1);

/// The pause after a target didn't tell how cold it is.
const COLD_PROBE_PAUSE: Duration = Duration::from_millis(500);

/// Waits until the target answers 200 on its ready path.
///
/// That it does so is only believed once. A target's later word on its health
/// lags or misleads, and what its requests come to says more.
pub(super) async fn until_ready(target: TargetSettings) {
    let Some(path) = &target.ready_path else {
        return;
    };
    loop {
        let probe = timeout(PROBE_LIMIT, get(target.addr, path));
        if let Ok(Some((StatusCode::OK, _))) = probe.await {
            return;
        }
        tokio::time::sleep(target.probe_interval).await;
    }
}

/// Asks the target how cold it is whenever it may be warm earlier than is known.
pub(super) async fn follow_coldness(shared: Arc<Shared>, addr: SocketAddr) {
    loop {
        shared.coldness().unproved().await;
        while shared.coldness().is_unproved(shared.clock().now()) {
            let probe = timeout(PROBE_LIMIT, cold_left(&shared, addr)).await;
            if let Ok(Some(left)) = probe {
                shared.coldness().probed(shared.clock().now(), left);
                tracing::info!(left_ms = left.as_millis(), "the target told how cold it is");
            } else {
                tokio::time::sleep(COLD_PROBE_PAUSE).await;
            }
        }
    }
}

/// How much longer the target says that it is cold; nothing if it doesn't say.
async fn cold_left(shared: &Shared, addr: SocketAddr) -> Option<Duration> {
    let name = shared.dialect().cold_left_ms.as_ref()?;
    let routes = shared.routes()?;
    let (_, service) = routes.own()?;
    let path = service.entry.cold_start.as_ref()?.probe_path.as_ref()?;
    let (status, headers) = get(addr, path).await?;
    match headers.get(name) {
        Some(left) => left.to_str().ok()?.parse().ok().map(Duration::from_millis),
        // A warm target has nothing to tell; one that refuses the probe told nothing.
        None => (status == StatusCode::OK).then_some(Duration::ZERO),
    }
}

/// The head of one answer, over a connection of its own.
async fn get(addr: SocketAddr, path: &str) -> Option<(StatusCode, HeaderMap)> {
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
    let res = tokio::select! {
        res = &mut answer => res,
        () = driven => answer.now_or_never().flatten(),
    };
    let (head, _) = res?.into_parts();
    Some((head.status, head.headers))
}
