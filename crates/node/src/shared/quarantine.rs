//! The traffic side's view of the quarantine of requests that crash targets.

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
use sassafrasspool_core::QuarantineDecision;
use sassafrasspool_core::QuarantineState;
use sassafrasspool_core::Tick;
use tokio::sync::watch;

use super::Clock;
use crate::control::ControlEvent;
use crate::control::ControlHandle;

/// Maximum number of answers recorded in each half. It bounds the memory of the
/// busiest nodes.
const MAX_ANSWERS_PER_HALF: usize = 4_096;

/// The requests in quarantine, and the recent answers of the local target.
#[derive(Debug, Default)]
pub(crate) struct Quarantine {
    state: ArcSwap<QuarantineState>,
    /// Notified after another state is in force.
    updated: watch::Sender<()>,
    recent_answers: Mutex<RecentAnswers>,
    /// Receives the observations; unset in a node without a control side.
    control: OnceLock<ControlHandle>,
}

impl Quarantine {
    /// Sets the control side, which receives the observations.
    pub(crate) fn set_control(&self, control: ControlHandle) {
        // A node has one control side from its start to its end.
        let _ = self.control.set(control);
    }

    /// How much longer a request is in quarantine, if it is at `now`.
    pub(crate) fn time_left(&self, now: Tick, content: &Content) -> Option<Duration> {
        match self.decide(now, content) {
            QuarantineDecision::RefuseUntil(until) => Some(until.since(now)),
            QuarantineDecision::Run | QuarantineDecision::HoldUntil(_) => None,
        }
    }

    /// Waits until a request may run. Returns how much longer it is in quarantine, if it is.
    pub(crate) async fn hold(&self, clock: &Clock, content: &Content) -> Option<Duration> {
        loop {
            let now = clock.now();
            if self.decide(now, content) == QuarantineDecision::Run {
                return None;
            }
            let mut updates = self.updated.subscribe();
            // Decides again, since the state may have changed before the subscription.
            let from = match self.decide(now, content) {
                QuarantineDecision::Run => return None,
                QuarantineDecision::RefuseUntil(until) => return Some(until.since(now)),
                QuarantineDecision::HoldUntil(from) => clock.instant(from),
            };
            // Either the time has come or the state has changed.
            let _ = tokio::time::timeout_at(from.into(), updates.changed()).await;
        }
    }

    /// Waits until a request is in quarantine; returns how much longer it is.
    pub(crate) async fn wait_until_quarantined(
        &self,
        clock: &Clock,
        content: &Content,
    ) -> Duration {
        let mut updates = self.updated.subscribe();
        loop {
            if let Some(left) = self.hold(clock, content).await {
                return left;
            }
            // It can't fail: `self` owns the sender and outlives the wait.
            let _ = updates.changed().await;
        }
    }

    fn decide(&self, now: Tick, content: &Content) -> QuarantineDecision {
        self.state.load().decide(now, content)
    }

    /// All requests in quarantine, and how much longer each is.
    pub(crate) fn list(&self, now: Tick) -> Vec<(Fingerprint, Duration)> {
        let state = self.state.load();
        let quarantined = state.quarantined_at(now);
        quarantined
            .map(|(content, until)| (content, until.since(now)))
            .collect()
    }

    /// Puts another state in force, and reports the recent answers of the local target to
    /// requests that have become suspect with it.
    pub(crate) fn apply_state(&self, now: Tick, state: Arc<QuarantineState>) {
        let answered: Vec<(Fingerprint, Tick)> = {
            let recent = self.recent_answers.lock();
            let recent = recent.unwrap_or_else(PoisonError::into_inner);
            let answered_at = |content| Some((content, recent.find(content)?));
            state.suspects().filter_map(answered_at).collect()
        };
        let before = self.state.swap(state);
        self.updated.send_replace(());
        for (content, at) in answered {
            if !before.is_suspect(content) {
                self.report_answer(content, now.since(at));
            }
        }
    }

    /// Records a complete answer of the local target, and reports it if the request is
    /// suspect.
    pub(crate) fn record_answer(&self, now: Tick, content: &Content) {
        {
            let recent = self.recent_answers.lock();
            let mut recent = recent.unwrap_or_else(PoisonError::into_inner);
            for content in content.fingerprints() {
                recent.record(now, content);
            }
        }
        let state = self.state.load();
        for content in content.fingerprints().filter(|it| state.is_suspect(*it)) {
            self.report_answer(content, Duration::ZERO);
        }
    }

    /// Reports that the local target crashed while it ran these requests.
    pub(crate) async fn record_crash(&self, ran: Vec<Content>) {
        // The report is dropped if the node has ended.
        self.report(Observation::Crashed(ran)).await;
    }

    /// Orders the release of a request from quarantine; returns false if the node has
    /// ended.
    pub(crate) async fn release(&self, content: &Content) -> bool {
        for content in content.fingerprints() {
            if !self.report(Observation::Released(content)).await {
                return false;
            }
        }
        true
    }

    /// Sends an observation made just now to the control side; returns false if there is
    /// none or the node has ended.
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
            // The next answer is reported again, as long as the request is suspect.
            tracing::debug!(%content, "answer not reported: the control queue is full");
        }
    }
}

/// When requests were last answered, for those that become suspect later.
///
/// The times are kept in two halves. The older half is dropped when the newer one is full,
/// or has been filled for as long as an answer exempts a request from crashes
/// ([`ANSWER_EXEMPTION`]).
#[derive(Debug, Default)]
struct RecentAnswers {
    newer: HashMap<Fingerprint, Tick>,
    older: HashMap<Fingerprint, Tick>,
    /// Since when the newer half has been filled.
    newer_since: Tick,
}

impl RecentAnswers {
    fn record(&mut self, now: Tick, content: Fingerprint) {
        let is_old = now.since(self.newer_since) >= ANSWER_EXEMPTION;
        if is_old || self.newer.len() >= MAX_ANSWERS_PER_HALF {
            std::mem::swap(&mut self.newer, &mut self.older);
            self.newer.clear();
            self.newer_since = now;
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
