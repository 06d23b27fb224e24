//! Client for the admin addresses of nodes and stand-ins.

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

/// How long a GET may take. A paused node doesn't answer.
const GET_TIMEOUT: Duration = Duration::from_millis(500);

/// Time between two checks whether a node is ready.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// How long a POST or PUT to a stand-in may take. On a busy machine the stand-in
/// may wait for processor time.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// Gets the JSON at `path` of an admin address. `None` if the answer isn't JSON or
/// doesn't come in time.
pub async fn get(addr: SocketAddr, path: &str) -> Option<Value> {
    let fetched = tokio::time::timeout(GET_TIMEOUT, fetch(addr, path));
    let body = fetched.await.ok()??;
    serde_json::from_slice(&body).ok()
}

/// Whether the node reports that it is ready.
pub async fn is_ready(addr: SocketAddr) -> bool {
    let status = get(addr, "/status").await;
    let phase = status.as_ref().and_then(|status| status["phase"].as_str());
    phase == Some("ready")
}

/// Waits until the node reports that it is ready. `false` if it isn't by
/// `deadline`.
pub async fn wait_until_ready(addr: SocketAddr, deadline: Instant) -> bool {
    while !is_ready(addr).await {
        if Instant::now() >= deadline {
            return false;
        }
        tokio::time::sleep(READY_POLL_INTERVAL).await;
    }
    true
}

/// Posts JSON to the admin address of a stand-in. `None` if that doesn't answer.
pub async fn post(addr: SocketAddr, path: &str, json: String) -> Option<StatusCode> {
    send_json(addr, Request::post(path), json).await
}

/// Puts JSON or YAML to the admin address of a stand-in. `None` if that doesn't
/// answer.
pub async fn put(addr: SocketAddr, path: &str, body: String) -> Option<StatusCode> {
    send_json(addr, Request::put(path), body).await
}

async fn send_json(addr: SocketAddr, req: Builder, body: String) -> Option<StatusCode> {
    let req = req.header(CONTENT_TYPE, "application/json");
    let sent = tokio::time::timeout(WRITE_TIMEOUT, send(addr, req, body.into()));
    sent.await.ok()?.map(|(status, _)| status)
}

async fn fetch(addr: SocketAddr, path: &str) -> Option<Bytes> {
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
