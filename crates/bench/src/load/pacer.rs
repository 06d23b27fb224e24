//! Releases calls when they are due.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::mpsc;

use super::plan::Call;

/// A call that is due now.
#[derive(Debug)]
pub struct DueCall {
    /// The call.
    pub call: Call,
    /// When it was released; its latency counts from then.
    pub released_at: Instant,
    /// By how much the release was late.
    pub lateness: Duration,
}

/// Releases planned calls on a separate thread.
///
/// The runtime's timer has a resolution of a millisecond, which is longer than a call
/// through two nodes takes. A sleeping thread wakes within some tens of
/// microseconds. The thread never waits for answers, so a slow answer can't delay
/// later calls.
#[derive(Debug)]
pub struct Pacer {
    rx: mpsc::UnboundedReceiver<DueCall>,
}

impl Pacer {
    /// Starts releasing `calls`, whose due times count from now.
    pub fn start(calls: impl Iterator<Item = Call> + Send + 'static) -> Pacer {
        let (tx, rx) = mpsc::unbounded_channel();
        thread::spawn(move || release(calls, &tx));
        Pacer { rx }
    }

    /// Waits for the next call that is due. `None` after the last one.
    pub async fn next(&mut self) -> Option<DueCall> {
        self.rx.recv().await
    }
}

fn release(calls: impl Iterator<Item = Call>, tx: &mpsc::UnboundedSender<DueCall>) {
    let start = Instant::now();
    for call in calls {
        let planned = start + call.due;
        thread::sleep(planned.saturating_duration_since(Instant::now()));
        let now = Instant::now();
        let due = DueCall {
            call,
            released_at: now,
            lateness: now.saturating_duration_since(planned),
        };
        if tx.send(due).is_err() {
            return;
        }
    }
}
