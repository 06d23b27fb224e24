//! A target that answers with the headers that it got, and with headers of
//! its own that only nodes may set.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use axum::Json;
use axum::Router;
use axum::response::IntoResponse;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use tokio::net::TcpListener;

/// What the target claims.
const FORGED: [(&str, &str); 3] = [
    ("x-sassafrasspool-outcome", "not-run"),
    ("x-sassafrasspool-reason", "draining"),
    ("x-sassafrasspool-load", "0/60000/0"),
];

/// Starts it; it ends with the test.
pub(crate) async fn start() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("an address");
    let router = Router::new().fallback(answer);
    tokio::spawn(async move { axum::serve(listener, router).await });
    addr
}

async fn answer(headers: HeaderMap) -> impl IntoResponse {
    let text = |(name, value): (&HeaderName, &HeaderValue)| {
        let value = value.to_str().expect("text");
        (name.to_string(), value.to_owned())
    };
    let seen: BTreeMap<String, String> = headers.iter().map(text).collect();
    (FORGED, Json(seen))
}
