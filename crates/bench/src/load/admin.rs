//! Asking nodes what operators can ask, and turning stand-ins.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use http::header::HOST;
use http::request::Builder;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// How long a node may take to answer; a paused one doesn't.
const TIMEOUT: Duration = Duration::from_millis(500);

/// How often a node that isn't ready is asked again.
const POLL: Duration = Duration::from_millis(20);

/// How long a stand-in may take to answer; on a busy machine it waits its turn.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(10);

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

/// Waits until the node says that it is ready; tells whether it did so before
/// `end`.
pub async fn is_ready_before(addr: SocketAddr, end: Instant) -> bool {
    while !is_ready(addr).await {
        if Instant::now() >= end {
            return false;
        }
        tokio::time::sleep(POLL).await;
    }
    true
}

/// Posts JSON to the admin port of a stand-in; `None` if that doesn't answer.
pub async fn post(addr: SocketAddr, path: &str, json: String) -> Option<StatusCode> {
    send_json(addr, Request::post(path), json).await
}

/// Puts JSON or YAML to the admin port of a stand-in; `None` if that doesn't
/// answer.
pub async fn put(addr: SocketAddr, path: &str, body: String) -> Option<StatusCode> {
    send_json(addr, Request::put(path), body).await
}

async fn send_json(addr: SocketAddr, req: Builder, body: String) -> Option<StatusCode> {
    let req = req.header(CONTENT_TYPE, "application/json");
    let told = tokio::time::timeout(CHANGE_TIMEOUT, send(addr, req, body.into()));
    told.await.ok()?.map(|(status, _)| status)
}

async fn ask(addr: SocketAddr, path: &str) -> Option<Bytes> {
    let (_, body) = send(addr, Request::get(path), Bytes::new()).await?;
    Some(body)
}

async fn send(addr: SocketAddr, req: Builder, body: Bytes) -> Option<(StatusCode, Bytes)> {
    let io = TcpStream::connect(addr).await.ok()?;
    let (mut sender, conn) = http1::handshake(TokioIo::new(io)).await.ok()?;
    let conn = tokio::spawn(conn);
    let req = req.header(HOST, addr.to_string()).body(Full::new(body));
    let answer = sender.send_request(req.ok()?).await.ok()?;
    let status = answer.status();
    let body = answer.into_body().collect().await.ok()?.to_bytes();
    drop(sender);
    let _ = conn.await;
    Some((status, body))
}
