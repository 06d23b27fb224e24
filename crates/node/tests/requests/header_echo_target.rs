//! A target that answers with the headers that it received, and adds headers that only
//! nodes may set.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use axum::Json;
use axum::Router;
use axum::response::IntoResponse;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use tokio::net::TcpListener;

/// Headers that the target adds to each answer.
const FORGED: [(&str, &str); 3] = [
    ("x-sassafrasspool-outcome", "not-run"),
    ("x-sassafrasspool-reason", "draining"),
    ("x-sassafrasspool-load", "0/60000/0"),
];

/// Starts the target, which runs until the test ends.
pub(crate) async fn start() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("a bound address");
    let router = Router::new().fallback(answer);
    tokio::spawn(async move { axum::serve(listener, router).await });
    addr
}

/// Answers with the received headers as JSON.
async fn answer(headers: HeaderMap) -> impl IntoResponse {
    let text = |(name, value): (&HeaderName, &HeaderValue)| {
        let value = value.to_str().expect("valid UTF-8");
        (name.to_string(), value.to_owned())
    };
    let received: BTreeMap<String, String> = headers.iter().map(text).collect();
    (FORGED, Json(received))
}
