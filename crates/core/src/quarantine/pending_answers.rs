//! Answers that others may have to hear of.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;
use rand::RngExt;

use super::Fingerprint;
use super::Verdicts;
use crate::Tick;

/// The longest that a node waits for others to tell of an answer first: some times as long
/// as a report takes through a large fleet.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// How much of that each node of the fleet is worth: small fleets need not wait long.
const WAIT_PER_NODE: Duration = Duration::from_millis(10);

/// Answers that this node saw and has not told yet.
///
/// What is asked often is answered by all nodes, and all begin to doubt it at once. Were each
/// to tell of its answer, a fleet of thousands would send thousands of reports to everybody.
/// Each waits for a random time, of which short ones are rare, and says nothing if the first
/// report has ended the doubt by then.
#[derive(Debug, Default)]
pub(crate) struct PendingAnswers(BTreeMap<Fingerprint, PendingAnswer>);

#[derive(Debug)]
struct PendingAnswer {
    due: Tick,
    answered: Tick,
}

impl PendingAnswers {
    /// Notes an answer at `answered`, in a fleet of so many nodes.
    pub(crate) fn note(
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

    /// When the next is to be told.
    pub(crate) fn due(&self) -> Option<Tick> {
        self.0.values().map(|pending| pending.due).min()
    }

    /// Takes those that are due and still in doubt, with when they were answered.
    pub(crate) fn take_due(&mut self, now: Tick, verdicts: &Verdicts) -> Vec<(Fingerprint, Tick)> {
        let mut due_answers = Vec::new();
        self.0.retain(|content, pending| {
            if !verdicts.doubts(*content) {
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

/// A random wait by which one node of the fleet, about, doesn't wait at all, and the
/// number of those that have waited so long grows by a constant factor in equal times.
fn random_wait(nodes: usize, rng: &mut impl Rng) -> Duration {
    let nodes = u32::try_from(nodes.max(2)).unwrap_or(u32::MAX);
    let longest = MAX_WAIT.min(WAIT_PER_NODE * nodes);
    let drawn: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
    let share = 1.0 + drawn.ln() / f64::from(nodes).ln();
    longest.mul_f64(share.max(0.0))
}
