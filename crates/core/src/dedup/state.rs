//! The state of the window, behind its lock.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use super::ownership::Ownership;
use crate::Attempt;
use crate::DedupSettings;
use crate::Reason;
use crate::Refusal;
use crate::RequestKey;
use crate::Step;
use crate::StoredAnswer;
use crate::Tick;

/// When a caller should retry while an earlier attempt runs.
const RUNNING_RETRY: Duration = Duration::from_millis(200);

/// The state of a key.
#[derive(Debug)]
enum KeyState {
    Running,
    Done(Arc<StoredAnswer>),
    OutcomeUnknown,
}

/// The decision on an attempt.
pub(super) enum KeyDecision {
    Run,
    Answer(Arc<StoredAnswer>),
    Refuse(Refusal),
}

#[derive(Debug)]
struct EndedKey {
    at: Tick,
    key: RequestKey,
}

/// The keys of one owner, and since when it owns keys.
///
/// # Invariants
///
/// Each key that isn't running is listed once in `ended`, ordered by time. It
/// is kept as long as a repeat may arrive: a seen key never counts as unseen
/// while a caller may still use it. `bytes` is the total size of the stored
/// answers.
pub(super) struct State {
    cfg: DedupSettings,
    pub(super) ownership: Ownership,
    keys: HashMap<RequestKey, KeyState>,
    ended: VecDeque<EndedKey>,
    answers: VecDeque<RequestKey>,
    bytes: usize,
    now: Tick,
}

impl State {
    pub(super) fn new(cfg: DedupSettings, ownership: Ownership) -> State {
        State {
            cfg,
            ownership,
            keys: HashMap::new(),
            ended: VecDeque::new(),
            answers: VecDeque::new(),
            bytes: 0,
            now: Tick::ZERO,
        }
    }

    pub(super) fn decide(&mut self, now: Tick, key: RequestKey, attempt: Attempt) -> KeyDecision {
        self.expire(now);
        // The state of a known key is valid whichever node owns it now.
        match self.keys.get(&key) {
            Some(KeyState::Done(answer)) => return KeyDecision::Answer(answer.clone()),
            Some(KeyState::Running) => {
                let refusal = Refusal::unknown(Step::Admission, Reason::EarlierRunning);
                return KeyDecision::Refuse(refusal.with_retry_after(RUNNING_RETRY));
            }
            Some(KeyState::OutcomeUnknown) => {
                let refusal = Refusal::unknown(Step::Admission, Reason::EarlierUnknown);
                return KeyDecision::Refuse(refusal);
            }
            None => {}
        }
        if let Some(refusal) = self.check_unseen_key(now, &key, attempt) {
            return KeyDecision::Refuse(refusal);
        }
        self.keys.insert(key, KeyState::Running);
        KeyDecision::Run
    }

    /// Returns a refusal unless this node may run an unseen key.
    fn check_unseen_key(&self, now: Tick, key: &RequestKey, attempt: Attempt) -> Option<Refusal> {
        if let Some(refusal) = self.check_ownership(now, key, attempt) {
            return Some(refusal);
        }
        let since = self.ownership.owned_since(key)?;
        let owned_for = now.since(since);
        if attempt == Attempt::MayRepeat && owned_for < self.cfg.unseen_proof_period() {
            // An earlier attempt may have run at the previous owner, or in this
            // process before its restart.
            let wait = self.cfg.unseen_proof_period() - owned_for;
            let refusal = Refusal::unknown(Step::Admission, Reason::EarlierUnknown);
            return Some(refusal.with_retry_after(wait));
        }
        if self.keys.len() >= self.cfg.max_keys {
            // If an older key were evicted instead, its repeat would run again.
            let refusal = Refusal::not_run(Step::Admission, Reason::WindowFull);
            return Some(refusal.with_retry_after(self.time_until_room(now)));
        }
        None
    }

    /// Returns a refusal unless this node owns the key, with a valid lease and
    /// for the settling period.
    pub(super) fn check_ownership(
        &self,
        now: Tick,
        key: &RequestKey,
        attempt: Attempt,
    ) -> Option<Refusal> {
        let Some(since) = self.ownership.owned_since(key) else {
            return Some(Refusal::not_run(Step::Admission, Reason::NotOwner));
        };
        if !self.ownership.is_lease_valid(now) {
            // A node that is cut off doesn't receive the list that gives the key
            // to another owner, which may already run it.
            let refusal = refusal_without_proof(attempt, Reason::LeaseLapsed);
            return Some(refusal.with_retry_after(self.cfg.lease));
        }
        let owned_for = now.since(since);
        if owned_for < self.cfg.settling_period() {
            // The previous owner may run the key until its lease expires.
            let wait = self.cfg.settling_period() - owned_for;
            return Some(refusal_without_proof(attempt, Reason::Settling).with_retry_after(wait));
        }
        None
    }

    pub(super) fn complete(&mut self, now: Tick, key: &RequestKey, answer: StoredAnswer) {
        self.expire(now);
        let bytes = answer.bytes();
        if bytes > self.cfg.max_answer_bytes || bytes > self.cfg.max_bytes {
            self.finish(*key, KeyState::OutcomeUnknown);
            return;
        }
        self.bytes += bytes;
        self.answers.push_back(*key);
        self.finish(*key, KeyState::Done(Arc::new(answer)));
        while self.bytes > self.cfg.max_bytes {
            self.drop_oldest_answer();
        }
    }

    pub(super) fn mark_unknown(&mut self, now: Option<Tick>, key: &RequestKey) {
        if let Some(now) = now {
            self.expire(now);
        }
        self.finish(*key, KeyState::OutcomeUnknown);
    }

    /// Removes a key whose request was not handed over.
    pub(super) fn remove(&mut self, key: &RequestKey) {
        self.keys.remove(key);
    }

    pub(super) fn len(&self) -> usize {
        self.keys.len()
    }

    fn finish(&mut self, key: RequestKey, state: KeyState) {
        self.keys.insert(key, state);
        self.ended.push_back(EndedKey { at: self.now, key });
    }

    /// Drops the oldest stored answer and keeps its key: repeats are refused
    /// with an unknown outcome, and never run.
    fn drop_oldest_answer(&mut self) {
        let Some(key) = self.answers.pop_front() else {
            return;
        };
        if let Some(state) = self.keys.get_mut(&key)
            && let KeyState::Done(answer) = state
        {
            self.bytes -= answer.bytes();
            *state = KeyState::OutcomeUnknown;
        }
    }

    /// Removes the keys of which no repeat can arrive any more.
    fn expire(&mut self, now: Tick) {
        self.now = self.now.max(now);
        while let Some(oldest) = self.ended.front() {
            if self.now.since(oldest.at) <= self.cfg.retention() {
                return;
            }
            let key = oldest.key;
            self.ended.pop_front();
            if let Some(KeyState::Done(answer)) = self.keys.remove(&key) {
                self.bytes -= answer.bytes();
            }
            if self.answers.front() == Some(&key) {
                self.answers.pop_front();
            }
        }
    }

    fn time_until_room(&self, now: Tick) -> Duration {
        let oldest = self.ended.front();
        let age = oldest.map_or(Duration::ZERO, |oldest| now.since(oldest.at));
        self.cfg.retention().saturating_sub(age)
    }
}

/// The refusal of a node that has no proof whether an earlier attempt has run.
pub(super) fn refusal_without_proof(attempt: Attempt, reason: Reason) -> Refusal {
    match attempt {
        Attempt::First => Refusal::not_run(Step::Admission, reason),
        Attempt::MayRepeat => Refusal::unknown(Step::Admission, reason),
    }
}
