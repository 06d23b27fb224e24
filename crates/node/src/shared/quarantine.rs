//! Requests that crash targets, as the traffic side sees and is told of them.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::sync::PoisonError;
use std::time::Duration;

use arc_swap::ArcSwap;
use sassafrasspool_core::ANSWER_EXEMPTION;
use sassafrasspool_core::Content;
use sassafrasspool_core::Event;
use sassafrasspool_core::Fingerprint;
use sassafrasspool_core::Observation;
use sassafrasspool_core::QuarantineState;
use sassafrasspool_core::Tick;
use tokio::sync::watch;

use super::Clock;
use crate::control::ControlEvent;
use crate::control::ControlHandle;

/// Answers in one half at most, which bounds the memory of the busiest nodes.
const MOST_ANSWERS: usize = 4_096;

/// What is in quarantine, and what this node's own target did.
#[derive(Debug, Default)]
pub(crate) struct Quarantine {
    verdicts: ArcSwap<QuarantineState>,
    /// Told after other verdicts are in force.
    judged: watch::Sender<()>,
    answered: Mutex<Answered>,
    /// Whom sightings are told; nobody in a node without a control side.
    control: OnceLock<ControlHandle>,
}

impl Quarantine {
    /// Says whom sightings are told.
    pub(crate) fn set_control(&self, control: ControlHandle) {
        // A node has one control side from its start to its end.
        let _ = self.control.set(control);
    }

    /// How long no target is to run a request from `now` on, if it is in quarantine.
    pub(crate) fn holds(&self, now: Tick, content: &Content) -> Option<Duration> {
        let until = self.verdicts.load().quarantined_until(now, content)?;
        Some(until.since(now))
    }

    /// Waits until a request is in quarantine; returns for how long it is.
    pub(crate) async fn entered(&self, clock: &Clock, content: &Content) -> Duration {
        let mut judged = self.judged.subscribe();
        loop {
            if let Some(left) = self.holds(clock.now(), content) {
                return left;
            }
            // The sender is a part of this, and outlives the wait.
            let _ = judged.changed().await;
        }
    }

    /// All that is in quarantine, and for how long.
    pub(crate) fn list(&self, now: Tick) -> Vec<(Fingerprint, Duration)> {
        let verdicts = self.verdicts.load();
        let held = verdicts.quarantined_at(now);
        held.map(|(content, until)| (content, until.since(now)))
            .collect()
    }

    /// Puts other verdicts in force, and tells of what they doubt and the own target has
    /// answered lately.
    pub(crate) fn judge(&self, now: Tick, verdicts: Arc<QuarantineState>) {
        let answered: Vec<(Fingerprint, Tick)> = {
            let answered = self.answered.lock();
            let answered = answered.unwrap_or_else(PoisonError::into_inner);
            let at = |content| Some((content, answered.find(content)?));
            verdicts.suspects().filter_map(at).collect()
        };
        let before = self.verdicts.swap(verdicts);
        self.judged.send_replace(());
        for (content, at) in answered {
            if !before.is_suspect(content) {
                self.report_answer(content, now.since(at));
            }
        }
    }

    /// Notes that the own target gave a whole answer.
    pub(crate) fn answered(&self, now: Tick, content: &Content) {
        {
            let answered = self.answered.lock();
            let mut answered = answered.unwrap_or_else(PoisonError::into_inner);
            for content in content.fingerprints() {
                answered.note(now, content);
            }
        }
        let verdicts = self.verdicts.load();
        for content in content.fingerprints().filter(|it| verdicts.is_suspect(*it)) {
            self.report_answer(content, Duration::ZERO);
        }
    }

    /// Notes that the own target crashed while it ran these.
    pub(crate) async fn crashed(&self, ran: Vec<Content>) {
        // A node that has ended tells nobody.
        self.report(Observation::Crashed(ran)).await;
    }

    /// Lets requests run again under which targets crashed; false if the node has ended.
    pub(crate) async fn release(&self, content: &Content) -> bool {
        for content in content.fingerprints() {
            if !self.report(Observation::Released(content)).await {
                return false;
            }
        }
        true
    }

    /// Reports what was just seen; false if nobody can be told.
    async fn report(&self, observation: Observation) -> bool {
        let Some(control) = self.control.get() else {
            return false;
        };
        let age = Duration::ZERO;
        let event = Event::Observed { observation, age };
        control.send(ControlEvent::Spread(event)).await
    }

    fn report_answer(&self, content: Fingerprint, age: Duration) {
        let Some(control) = self.control.get() else {
            return;
        };
        let observation = Observation::Answered(content);
        let event = ControlEvent::Spread(Event::Observed { observation, age });
        if !control.try_send(event) {
            // The next answer is told again, for as long as there is doubt.
            tracing::debug!(%content, "an answer was not told: the control side is busy");
        }
    }
}

/// When requests were answered last, in case that others begin to doubt one: in two halves,
/// of which the older goes as the newer is full or has filled for as long as answers excuse.
#[derive(Debug, Default)]
struct Answered {
    newer: HashMap<Fingerprint, Tick>,
    older: HashMap<Fingerprint, Tick>,
    /// Since when the newer half is filled.
    since: Tick,
}

impl Answered {
    fn note(&mut self, now: Tick, content: Fingerprint) {
        let is_old = now.since(self.since) >= ANSWER_EXEMPTION;
        if is_old || self.newer.len() >= MOST_ANSWERS {
            std::mem::swap(&mut self.newer, &mut self.older);
            self.newer.clear();
            self.since = now;
        }
        self.newer.insert(content, now);
    }

    fn find(&self, content: Fingerprint) -> Option<Tick> {
        let halves = [&self.newer, &self.older];
        halves
            .into_iter()
            .find_map(|half| half.get(&content).copied())
    }
}
