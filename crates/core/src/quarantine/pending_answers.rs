//! Answers that may have to be reported to other nodes.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;
use rand::RngExt;

use super::Fingerprint;
use super::QuarantineState;
use crate::Tick;

/// The longest time that a node waits for another node to report an answer first: some
/// times as long as the dissemination of a report takes in a large fleet.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// The part of [`MAX_WAIT`] for each node of the fleet: small fleets need only short waits.
const WAIT_PER_NODE: Duration = Duration::from_millis(10);

/// Answers that this node saw and has not reported yet.
///
/// A frequent request is answered through all nodes, and becomes suspect on all of them at
/// once. If each node reported its answer, a fleet of thousands would send thousands of
/// reports to every node. Each node therefore waits for a random time, of which short ones
/// are rare, and sends no report if the request is no longer suspect by then, because of
/// the first report.
#[derive(Debug, Default)]
pub(crate) struct PendingAnswers(BTreeMap<Fingerprint, PendingAnswer>);

#[derive(Debug)]
struct PendingAnswer {
    due: Tick,
    answered: Tick,
}

impl PendingAnswers {
    /// Adds an answer given at `answered`, in a fleet of `nodes` nodes.
    pub(crate) fn schedule(
        &mut self,
        now: Tick,
        content: Fingerprint,
        answered: Tick,
        nodes: usize,
        rng: &mut impl Rng,
    ) {
        let due = now + random_wait(nodes, rng);
        let pending = self
            .0
            .entry(content)
            .or_insert(PendingAnswer { due, answered });
        pending.answered = pending.answered.max(answered);
    }

    /// When the next answer is to be reported.
    pub(crate) fn next_due(&self) -> Option<Tick> {
        self.0.values().map(|pending| pending.due).min()
    }

    /// Takes the requests whose answer is due and which are still suspect, each with the
    /// time of its answer. Answers to requests that are no longer suspect are dropped.
    pub(crate) fn take_due(
        &mut self,
        now: Tick,
        state: &QuarantineState,
    ) -> Vec<(Fingerprint, Tick)> {
        let mut due_answers = Vec::new();
        self.0.retain(|content, pending| {
            if !state.is_suspect(*content) {
                return false;
            }
            let is_waiting = pending.due > now;
            if !is_waiting {
                due_answers.push((*content, pending.answered));
            }
            is_waiting
        });
        due_answers
    }
}

/// A random wait. Of the whole fleet, about one node doesn't wait at all, and the number
/// of nodes whose wait has ended grows by a constant factor in equal times.
fn random_wait(nodes: usize, rng: &mut impl Rng) -> Duration {
    let nodes = u32::try_from(nodes.max(2)).unwrap_or(u32::MAX);
    let longest = MAX_WAIT.min(WAIT_PER_NODE * nodes);
    let drawn: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
    let share = 1.0 + drawn.ln() / f64::from(nodes).ln();
    longest.mul_f64(share.max(0.0))
}
