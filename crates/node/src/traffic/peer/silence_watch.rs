//! Detects connections to other nodes on which nothing arrives any more.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Instant;

use hyper::rt::Timer;
use sassafrasspool_wire::IoObserver;
use tokio::sync::Notify;

use super::stall_timer::StallTimer;
use crate::traffic::bounds::MIN_REPLACED_AGE;
use crate::traffic::bounds::SILENCE_TIMEOUT;

/// Whether a connection has carried anything since a request was sent on it.
#[derive(Debug)]
pub(super) struct SilenceWatch {
    opened_at: Instant,
    state: Mutex<State>,
    /// Notified when the first request is sent after something was received.
    awaiting: Notify,
}

/// # Invariants
///
/// `is_silent` is never unset: a connection that was silent once gets no more requests.
#[derive(Debug, Default)]
struct State {
    /// When the first request was sent after something was received.
    awaiting_since: Option<Instant>,
    is_silent: bool,
}

impl SilenceWatch {
    /// The watch of a connection that is being opened.
    pub(super) fn new() -> SilenceWatch {
        SilenceWatch {
            opened_at: Instant::now(),
            state: Mutex::default(),
            awaiting: Notify::new(),
        }
    }

    /// Records that a request is being sent.
    pub(super) fn record_request(&self) {
        let mut state = self.lock();
        if state.awaiting_since.is_none() {
            state.awaiting_since = Some(Instant::now());
            self.awaiting.notify_one();
        }
    }

    /// Whether nothing was received for [`SILENCE_TIMEOUT`] while requests waited, and the
    /// connection has reached [`MIN_REPLACED_AGE`].
    pub(super) fn is_silent(&self) -> bool {
        self.lock().is_silent
    }

    /// Watches the connection to `peer`.
    pub(super) async fn run(&self, peer: SocketAddr) -> Infallible {
        loop {
            let Some(since) = self.awaiting_since() else {
                self.awaiting.notified().await;
                continue;
            };
            // The peer answers probes in the meantime, even if it answers no request.
            let due = (since + SILENCE_TIMEOUT).max(self.opened_at + MIN_REPLACED_AGE);
            StallTimer.sleep_until(due).await;
            if self.awaiting_since() == Some(since) {
                break;
            }
        }
        self.lock().is_silent = true;
        tracing::info!(%peer, "nothing is received on a connection, requests use another");
        std::future::pending().await
    }

    fn awaiting_since(&self) -> Option<Instant> {
        self.lock().awaiting_since
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        // No change of the state can panic halfway.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Reports what is received on a connection to its watch.
#[derive(Debug)]
pub(super) struct ReceiptObserver(pub(super) Arc<SilenceWatch>);

impl IoObserver for ReceiptObserver {
    fn on_read(&mut self, _: &[u8]) {
        self.0.lock().awaiting_since = None;
    }

    fn on_written(&mut self, _: usize) {}
}
