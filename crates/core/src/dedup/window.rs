//! The window of request keys at their owner.

use std::fmt;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use super::ownership::Members;
use super::ownership::Ownership;
use super::state::KeyDecision;
use super::state::State;
use crate::Attempt;
use crate::AttemptDecision;
use crate::DedupSettings;
use crate::Instance;
use crate::InstanceId;
use crate::InstanceList;
use crate::InstanceState;
use crate::Refusal;
use crate::RequestKey;
use crate::Result;
use crate::Revision;
use crate::RunPermit;
use crate::ServiceName;
use crate::Snapshot;
use crate::StoredAnswer;
use crate::Tick;

/// The request keys that one owner has seen, shared by the traffic threads.
///
/// It is used only for requests with a key on routes that aren't idempotent.
#[derive(Debug, Clone)]
pub struct DedupWindow(Arc<Shared>);

/// The state shared by the window and the running requests.
pub(super) struct Shared {
    service: ServiceName,
    state: Mutex<State>,
}

impl DedupWindow {
    /// The empty window of the node of instance `me` of `service`, which has just
    /// started.
    ///
    /// # Errors
    ///
    /// Fails if the hold time, the lease or the number of keys is zero.
    pub fn new(cfg: DedupSettings, me: InstanceId, service: ServiceName) -> Result<DedupWindow> {
        let cfg = cfg.validated()?;
        let ownership = Ownership::new(me, cfg.lease);
        let state = State::new(cfg, ownership);
        Ok(DedupWindow(Arc::new(Shared {
            service,
            state: Mutex::new(state),
        })))
    }

    /// Applies an instance list, if it is newer.
    ///
    /// Call it before requests are routed by that list: an owner must not
    /// receive its keys later than the nodes that send requests with them.
    pub fn apply_list(&self, now: Tick, list: &InstanceList) {
        let revision = list.version().revision();
        if self.0.lock().ownership.has_seen(revision) {
            return;
        }
        let own_live =
            |i: &&Instance| i.service == self.0.service && i.state == InstanceState::Live;
        let members = Members::new(list.iter().filter(own_live).map(|i| &i.id));
        self.0.lock().ownership.apply_list(now, revision, members);
    }

    /// Applies the instance list of a snapshot.
    ///
    /// It does the same as [`DedupWindow::apply_list`], but does nothing if the
    /// catalogue doesn't have the service. Once it does, the list is applied as
    /// if it were new, which only makes the owner wait.
    pub fn apply_snapshot(&self, now: Tick, snapshot: &Snapshot) {
        let revision = snapshot.instances().revision();
        let Some((_, service)) = snapshot.find_service(&self.0.service) else {
            return;
        };
        let endpoints = snapshot.endpoints_of(service);
        let instances = endpoints.map(|(_, endpoint)| &endpoint.instance);
        let live = instances.filter(|i| i.state == InstanceState::Live);
        let members = Members::new(live.map(|i| &i.id));
        self.0.lock().ownership.apply_list(now, revision, members);
    }

    /// Records a proof that nothing newer than the list of `revision` was
    /// published until `at`. `at` must not be later than the time of the request
    /// to the platform or a peer whose answer is the proof: see
    /// [`crate::ListProof`].
    pub fn record_proof(&self, at: Tick, revision: Revision) {
        self.0.lock().ownership.record_proof(at, revision);
    }

    /// Decides whether an attempt that reached this node is run.
    pub fn begin_attempt(&self, now: Tick, key: RequestKey, attempt: Attempt) -> AttemptDecision {
        let decision = self.0.lock().decide(now, key, attempt);
        match decision {
            KeyDecision::Run => AttemptDecision::Run(RunPermit::new(&self.0, key, attempt)),
            KeyDecision::Answer(answer) => AttemptDecision::Answer(answer),
            KeyDecision::Refuse(refusal) => AttemptDecision::Refuse(refusal),
        }
    }

    /// The number of keys in the window.
    pub fn len(&self) -> usize {
        self.0.lock().len()
    }

    /// Whether there is no key in the window.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        // A panic under the lock would leave a key running. Its repeats are then
        // refused with an unknown outcome and never run, which is safe.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn check_ownership(
        &self,
        now: Tick,
        key: &RequestKey,
        attempt: Attempt,
    ) -> Option<Refusal> {
        self.lock().check_ownership(now, key, attempt)
    }

    pub(super) fn complete(&self, now: Tick, key: &RequestKey, answer: StoredAnswer) {
        self.lock().complete(now, key, answer);
    }

    pub(super) fn mark_unknown(&self, now: Option<Tick>, key: &RequestKey) {
        self.lock().mark_unknown(now, key);
    }

    pub(super) fn remove(&self, key: &RequestKey) {
        self.lock().remove(key);
    }
}

impl fmt::Debug for Shared {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("DedupWindow")
            .field("keys", &self.lock().len())
            .finish()
    }
}
