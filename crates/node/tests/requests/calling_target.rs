//! A target that sends a request through its node's egress for each request that it runs.

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

/// State that the target shares with the test.
#[derive(Debug, Default)]
pub(crate) struct CallingTarget {
    /// Egress address of the node to which the target sends its requests.
    pub(crate) egress: OnceLock<SocketAddr>,
    /// Requests that the target ran.
    pub(crate) runs: AtomicU32,
}

/// Starts the target, which runs until the test ends.
pub(crate) async fn start() -> (SocketAddr, Arc<CallingTarget>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("a bound address");
    let target = Arc::new(CallingTarget::default());
    let router = Router::new().fallback(answer);
    let router = router.with_state(Arc::clone(&target));
    tokio::spawn(async move { axum::serve(listener, router).await });
    (addr, target)
}

/// Sends a request to the egress and answers with the status of its answer.
async fn answer(State(target): State<Arc<CallingTarget>>, headers: HeaderMap) -> StatusCode {
    target.runs.fetch_add(1, Ordering::Relaxed);
    let egress = *target.egress.get().expect("an egress that is set");
    let id = headers.get("x-request-id").expect("a request id");
    let id = id.to_str().expect("valid UTF-8");
    let res = client::call(egress, client::get("/desk/loop", id)).await;
    res.expect("an answer").status()
}
