//! An HTTP client for the admin addresses of nodes and of the platform.

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
use sassafrasspool_wire::validate_response_head;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::timeout;

/// The largest response body that is accepted, in bytes.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// How much of the body of an error response is quoted in the error, in
/// characters.
const MAX_ERROR_BODY_CHARS: usize = 300;

/// An HTTP client for admin addresses; clones share its connections.
#[derive(Debug, Clone)]
pub struct AdminClient {
    http: Client<HttpConnector, Full<Bytes>>,
    timeout: Duration,
}

impl AdminClient {
    /// Creates a client whose requests each take at most `timeout` in total.
    pub fn new(timeout: Duration) -> AdminClient {
        // A drain that is requested twice is harmless, but a failure is
        // reported to the operator at once instead of after a silent retry.
        let http = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .build_http();
        AdminClient { http, timeout }
    }

    /// Sends a GET request and decodes the JSON response.
    ///
    /// # Errors
    ///
    /// Fails, naming the peer, if no answer arrives within the timeout, the
    /// status isn't a success, the answer is malformed, or the body can't be decoded as `T`.
    pub async fn get<T: DeserializeOwned>(&self, peer: SocketAddr, path: &str) -> Result<T> {
        let body = self.send(Method::GET, peer, path, Bytes::new()).await?;
        decode(peer, &body)
    }

    /// Sends a POST request with a JSON body and decodes the JSON response; an
    /// empty response body is decoded as `null`.
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

    /// Sends a PUT request with an unchanged body and decodes the JSON response.
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
            .map_err(|cause| admin_error(peer, "can't build the request").with_cause(cause))?;
        let exchange = timeout(self.timeout, self.exchange(peer, req));
        let ms = self.timeout.as_millis();
        exchange
            .await
            .unwrap_or_else(|_| Err(admin_error(peer, &format!("no answer within {ms} ms"))))
    }

    async fn exchange(&self, peer: SocketAddr, req: Request<Full<Bytes>>) -> Result<Bytes> {
        let res = self.http.request(req).await;
        let mut res = res.map_err(|cause| admin_error(peer, "no answer").with_cause(cause))?;
        validate_response_head(&mut res)
            .map_err(|cause| admin_error(peer, "malformed answer").with_cause(cause))?;
        let status = res.status();
        let body = Limited::new(res.into_body(), MAX_ANSWER_BYTES);
        let body = body.collect().await;
        let body =
            body.map_err(|cause| admin_error(peer, "can't read the answer").with_cause(cause))?;
        let body = body.to_bytes();
        if status.is_success() {
            return Ok(body);
        }
        let quoted: String = String::from_utf8_lossy(&body)
            .chars()
            .take(MAX_ERROR_BODY_CHARS)
            .collect();
        Err(admin_error(peer, &format!("{status} {quoted}")))
    }
}

fn encode(peer: SocketAddr, body: &impl Serialize) -> Result<Bytes> {
    let body = serde_json::to_vec(body);
    let body =
        body.map_err(|cause| admin_error(peer, "can't encode the request").with_cause(cause))?;
    Ok(Bytes::from(body))
}

fn decode<T: DeserializeOwned>(peer: SocketAddr, body: &[u8]) -> Result<T> {
    serde_json::from_slice(body)
        .map_err(|cause| admin_error(peer, "unexpected answer").with_cause(cause))
}

fn admin_error(peer: SocketAddr, reason: &str) -> Error {
    Error::new(Step::Admin, reason).at_peer(peer)
}
