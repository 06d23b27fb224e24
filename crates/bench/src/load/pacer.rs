//! Releasing calls when they are due.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::mpsc;

use super::plan::Call;

/// A call that is due now.
#[derive(Debug)]
pub struct Due {
    /// The call.
    pub call: Call,
    /// When it was released, from which its latency counts.
    pub at: Instant,
    /// By how much the release itself was late.
    pub late: Duration,
}

/// Releases planned calls on a thread of its own.
///
/// The runtime's timer has steps of a millisecond, which is more than what a
/// call through two nodes takes; a sleeping thread wakes within some tens of
/// microseconds. It never waits for answers, so that a slow one can't delay
/// the calls behind it.
#[derive(Debug)]
pub struct Pacer {
    rx: mpsc::UnboundedReceiver<Due>,
}

impl Pacer {
    /// Starts releasing `calls`, whose times count from now.
    pub fn start(calls: impl Iterator<Item = Call> + Send + 'static) -> Pacer {
        let (tx, rx) = mpsc::unbounded_channel();
        thread::spawn(move || release(calls, &tx));
        Pacer { rx }
    }

    /// The next call when it is due; `None` after the last one.
    pub async fn next(&mut self) -> Option<Due> {
        self.rx.recv().await
    }
}

fn release(calls: impl Iterator<Item = Call>, tx: &mpsc::UnboundedSender<Due>) {
    let start = Instant::now();
    for call in calls {
        let planned = start + call.due;
        thread::sleep(planned.saturating_duration_since(Instant::now()));
        let at = Instant::now();
        let late = at.saturating_duration_since(planned);
        if tx.send(Due { call, at, late }).is_err() {
            return;
        }
    }
}
