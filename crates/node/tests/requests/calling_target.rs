//! A target that makes a call for each request, through its node.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use axum::Router;
use axum::extract::State;
use http::HeaderMap;
use http::StatusCode;
use tokio::net::TcpListener;

use crate::client;

/// What the target shares with the test.
#[derive(Debug, Default)]
pub(crate) struct CallingTarget {
    /// Where its node takes its calls.
    pub(crate) egress: OnceLock<SocketAddr>,
    /// Requests that it ran.
    pub(crate) runs: AtomicU32,
}

/// Starts it; it ends with the test.
pub(crate) async fn start() -> (SocketAddr, Arc<CallingTarget>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("an address");
    let target = Arc::new(CallingTarget::default());
    let router = Router::new().fallback(answer);
    let router = router.with_state(Arc::clone(&target));
    tokio::spawn(async move { axum::serve(listener, router).await });
    (addr, target)
}

/// Answers with the status of the call that it makes.
async fn answer(State(target): State<Arc<CallingTarget>>, headers: HeaderMap) -> StatusCode {
    target.runs.fetch_add(1, Ordering::Relaxed);
    let egress = *target.egress.get().expect("the egress");
    let id = headers.get("x-request-id").expect("an id");
    let id = id.to_str().expect("text");
    let res = client::call(egress, client::get("/desk/loop", id)).await;
    res.expect("an answer").status()
}
