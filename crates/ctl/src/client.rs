//! Talking to admin addresses over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::header::CONTENT_TYPE;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use sassafrasspool_core::Error;
use sassafrasspool_core::Result;
use sassafrasspool_core::Step;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::timeout;

/// The largest answer that is read, in bytes.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// How much of an error's body is told, in characters.
const MAX_TOLD_CHARS: usize = 300;

/// A client of admin addresses; cloning it shares its connections.
#[derive(Debug, Clone)]
pub struct AdminClient {
    http: Client<HttpConnector, Full<Bytes>>,
    timeout: Duration,
}

impl AdminClient {
    /// A client that gives each request at most `timeout` in all.
    pub fn new(timeout: Duration) -> AdminClient {
        // A drain that was asked for twice is harmless, but the operator is
        // told of a failure at once instead of after a silent retry.
        let http = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .build_http();
        AdminClient { http, timeout }
    }

    /// Reads JSON.
    ///
    /// # Errors
    ///
    /// Fails, naming the peer, if there is no answer in time, a status other
    /// than success, or a body that isn't what `T` asks for.
    pub async fn get<T: DeserializeOwned>(&self, peer: SocketAddr, path: &str) -> Result<T> {
        let body = self.send(Method::GET, peer, path, Bytes::new()).await?;
        decode(peer, &body)
    }

    /// Posts JSON and reads JSON; an empty answer is `null`.
    ///
    /// # Errors
    ///
    /// Fails as [`AdminClient::get`] does, or if `body` can't be encoded.
    pub async fn post<T: DeserializeOwned>(
        &self,
        peer: SocketAddr,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T> {
        let body = encode(peer, body)?;
        let body = self.send(Method::POST, peer, path, body).await?;
        decode(peer, if body.is_empty() { b"null" } else { &body })
    }

    /// Puts a body as it is and reads JSON.
    ///
    /// # Errors
    ///
    /// Fails as [`AdminClient::get`] does.
    pub async fn put<T: DeserializeOwned>(
        &self,
        peer: SocketAddr,
        path: &str,
        body: Bytes,
    ) -> Result<T> {
        let body = self.send(Method::PUT, peer, path, body).await?;
        decode(peer, &body)
    }

    async fn send(
        &self,
        method: Method,
        peer: SocketAddr,
        path: &str,
        body: Bytes,
    ) -> Result<Bytes> {
        let req = Request::builder()
            .method(method)
            .uri(format!("http://{peer}{path}"))
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|cause| failed(peer, "can't be asked").with_cause(cause))?;
        let exchange = timeout(self.timeout, self.exchange(peer, req));
        let ms = self.timeout.as_millis();
        exchange
            .await
            .unwrap_or_else(|_| Err(failed(peer, &format!("no answer within {ms} ms"))))
    }

    async fn exchange(&self, peer: SocketAddr, req: Request<Full<Bytes>>) -> Result<Bytes> {
        let answer = self.http.request(req).await;
        let answer = answer.map_err(|cause| failed(peer, "no answer").with_cause(cause))?;
        let status = answer.status();
        let body = Limited::new(answer.into_body(), MAX_ANSWER_BYTES);
        let body = body.collect().await;
        let body = body.map_err(|cause| failed(peer, "broken answer").with_cause(cause))?;
        let body = body.to_bytes();
        if status.is_success() {
            return Ok(body);
        }
        let told: String = String::from_utf8_lossy(&body)
            .chars()
            .take(MAX_TOLD_CHARS)
            .collect();
        Err(failed(peer, &format!("{status} {told}")))
    }
}

fn encode(peer: SocketAddr, body: &impl Serialize) -> Result<Bytes> {
    let body = serde_json::to_vec(body);
    let body = body.map_err(|cause| failed(peer, "can't be encoded").with_cause(cause))?;
    Ok(Bytes::from(body))
}

fn decode<T: DeserializeOwned>(peer: SocketAddr, body: &[u8]) -> Result<T> {
    serde_json::from_slice(body)
        .map_err(|cause| failed(peer, "unexpected answer").with_cause(cause))
}

fn failed(peer: SocketAddr, reason: &str) -> Error {
    Error::new(Step::Admin, reason).at_peer(peer)
}
