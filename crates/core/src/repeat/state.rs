//! What the window keeps under its lock.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use super::tenure::Tenure;
use crate::Attempt;
use crate::Reason;
use crate::Refusal;
use crate::RepeatSettings;
use crate::RequestKey;
use crate::Step;
use crate::StoredAnswer;
use crate::Tick;

/// When to come back for the answer of a request that runs.
const RUNNING_RETRY: Duration = Duration::from_millis(200);

/// What is known of a key.
#[derive(Debug)]
enum Entry {
    Running,
    Done(Arc<StoredAnswer>),
    Lost,
}

/// What to do with an attempt.
pub(super) enum Decision {
    Run,
    Answer(Arc<StoredAnswer>),
    Refuse(Refusal),
}

#[derive(Debug)]
struct Ended {
    at: Tick,
    key: RequestKey,
}

/// Keys and tenure of one owner.
///
/// # Invariants
///
/// Each key that isn't running stands once in `ended`, in the order of time,
/// and is kept as long as a repeat may come: a key that was seen never
/// counts as unseen while a caller may still use it. `bytes` is the sum over
/// the stored answers.
pub(super) struct State {
    cfg: RepeatSettings,
    pub(super) tenure: Tenure,
    keys: HashMap<RequestKey, Entry>,
    ended: VecDeque<Ended>,
    answers: VecDeque<RequestKey>,
    bytes: usize,
    now: Tick,
}

impl State {
    pub(super) fn new(cfg: RepeatSettings, tenure: Tenure) -> State {
        State {
            cfg,
            tenure,
            keys: HashMap::new(),
            ended: VecDeque::new(),
            answers: VecDeque::new(),
            bytes: 0,
            now: Tick::ZERO,
        }
    }

    pub(super) fn begin(&mut self, now: Tick, key: RequestKey, attempt: Attempt) -> Decision {
        self.advance(now);
        // What is known of a key is true whoever owns it by now.
        match self.keys.get(&key) {
            Some(Entry::Done(answer)) => return Decision::Answer(answer.clone()),
            Some(Entry::Running) => {
                let refusal = Refusal::unknown(Step::Admission, Reason::EarlierRunning);
                return Decision::Refuse(refusal.after(RUNNING_RETRY));
            }
            Some(Entry::Lost) => {
                let refusal = Refusal::unknown(Step::Admission, Reason::EarlierUnknown);
                return Decision::Refuse(refusal);
            }
            None => {}
        }
        if let Some(refusal) = self.refuse_unseen(now, &key, attempt) {
            return Decision::Refuse(refusal);
        }
        self.keys.insert(key, Entry::Running);
        Decision::Run
    }

    /// Why a key that isn't known here must not be run, if so.
    fn refuse_unseen(&self, now: Tick, key: &RequestKey, attempt: Attempt) -> Option<Refusal> {
        if let Some(refusal) = self.refuse_owner(now, key, attempt) {
            return Some(refusal);
        }
        let since = self.tenure.since(key)?;
        let tenure = now.since(since);
        if attempt == Attempt::MayRepeat && tenure < self.cfg.proof() {
            // An earlier attempt may have run at the owner before this one, or
            // in this process before its restart.
            let wait = self.cfg.proof() - tenure;
            let refusal = Refusal::unknown(Step::Admission, Reason::EarlierUnknown);
            return Some(refusal.after(wait));
        }
        if self.keys.len() >= self.cfg.max_keys {
            // Forgetting an older key to make room would let its repeat run.
            let refusal = Refusal::not_run(Step::Admission, Reason::WindowFull);
            return Some(refusal.after(self.next_room(now)));
        }
        None
    }

    /// Why this node has no right to run an unseen key, if so.
    pub(super) fn refuse_owner(
        &self,
        now: Tick,
        key: &RequestKey,
        attempt: Attempt,
    ) -> Option<Refusal> {
        let Some(since) = self.tenure.since(key) else {
            return Some(Refusal::not_run(Step::Admission, Reason::NotOwner));
        };
        if !self.tenure.is_proved(now) {
            // A node that is cut off doesn't see that the key moved, while the
            // new owner has begun to run it.
            let refusal = refusal_of(attempt, Reason::LeaseLapsed);
            return Some(refusal.after(self.cfg.lease));
        }
        let tenure = now.since(since);
        if tenure < self.cfg.settle() {
            // The owner before may run the key until its lease lapses.
            let wait = self.cfg.settle() - tenure;
            return Some(refusal_of(attempt, Reason::Settling).after(wait));
        }
        None
    }

    pub(super) fn done(&mut self, now: Tick, key: &RequestKey, answer: StoredAnswer) {
        self.advance(now);
        let bytes = answer.bytes();
        if bytes > self.cfg.max_answer_bytes || bytes > self.cfg.max_bytes {
            self.end(*key, Entry::Lost);
            return;
        }
        self.bytes += bytes;
        self.answers.push_back(*key);
        self.end(*key, Entry::Done(Arc::new(answer)));
        while self.bytes > self.cfg.max_bytes {
            self.drop_oldest_answer();
        }
    }

    pub(super) fn lost(&mut self, now: Option<Tick>, key: &RequestKey) {
        if let Some(now) = now {
            self.advance(now);
        }
        self.end(*key, Entry::Lost);
    }

    /// The request of a key was not handed over.
    pub(super) fn forget(&mut self, key: &RequestKey) {
        self.keys.remove(key);
    }

    pub(super) fn len(&self) -> usize {
        self.keys.len()
    }

    fn end(&mut self, key: RequestKey, entry: Entry) {
        self.keys.insert(key, entry);
        self.ended.push_back(Ended { at: self.now, key });
    }

    /// Keeps the key of the oldest stored answer and lets the answer go: its
    /// repeats are told that the outcome is unknown, and never run.
    fn drop_oldest_answer(&mut self) {
        let Some(key) = self.answers.pop_front() else {
            return;
        };
        if let Some(entry) = self.keys.get_mut(&key)
            && let Entry::Done(answer) = entry
        {
            self.bytes -= answer.bytes();
            *entry = Entry::Lost;
        }
    }

    /// Lets go of keys of which no repeat can come any more.
    fn advance(&mut self, now: Tick) {
        self.now = self.now.max(now);
        while let Some(oldest) = self.ended.front() {
            if self.now.since(oldest.at) <= self.cfg.memory() {
                return;
            }
            let key = oldest.key;
            self.ended.pop_front();
            if let Some(Entry::Done(answer)) = self.keys.remove(&key) {
                self.bytes -= answer.bytes();
            }
            if self.answers.front() == Some(&key) {
                self.answers.pop_front();
            }
        }
    }

    fn next_room(&self, now: Tick) -> Duration {
        let oldest = self.ended.front();
        let held = oldest.map_or(Duration::ZERO, |oldest| now.since(oldest.at));
        self.cfg.memory().saturating_sub(held)
    }
}

/// A refusal by a node that can't tell whether an earlier attempt has run.
pub(super) fn refusal_of(attempt: Attempt, reason: Reason) -> Refusal {
    match attempt {
        Attempt::First => Refusal::not_run(Step::Admission, reason),
        Attempt::MayRepeat => Refusal::unknown(Step::Admission, reason),
    }
}
