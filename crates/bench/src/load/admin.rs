//! Asking nodes what operators can ask.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::header::HOST;
use http_body_util::BodyExt;
use http_body_util::Empty;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::net::TcpStream;

/// How long a node may take to answer; a paused one doesn't.
const TIMEOUT: Duration = Duration::from_millis(500);

/// The JSON at `path` of a node's admin address; `None` if the node doesn't
/// answer with any.
pub async fn get(addr: SocketAddr, path: &str) -> Option<Value> {
    let asked = tokio::time::timeout(TIMEOUT, ask(addr, path));
    let body = asked.await.ok()??;
    serde_json::from_slice(&body).ok()
}

/// Whether the node says that it is ready.
pub async fn is_ready(addr: SocketAddr) -> bool {
    let status = get(addr, "/status").await;
    let phase = status.as_ref().and_then(|status| status["phase"].as_str());
    phase == Some("ready")
}

async fn ask(addr: SocketAddr, path: &str) -> Option<Bytes> {
    let io = TcpStream::connect(addr).await.ok()?;
    let (mut sender, conn) = http1::handshake(TokioIo::new(io)).await.ok()?;
    let conn = tokio::spawn(conn);
    let req = Request::get(path)
        .header(HOST, addr.to_string())
        .body(Empty::<Bytes>::new())
        .ok()?;
    let answer = sender.send_request(req).await.ok()?;
    let body = answer.into_body().collect().await.ok()?.to_bytes();
    drop(sender);
    let _ = conn.await;
    Some(body)
}
