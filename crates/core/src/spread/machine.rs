//! The dissemination state machine of one node.
//!
//! Types of their own hold the parts of its state; the submodules hold the
//! handlers of the events.

use std::net::SocketAddr;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use self::heartbeat::NextHeartbeat;
use super::calls::Address;
use super::calls::Calls;
use super::catch_up::CatchUp;
use super::gossip::Gossip;
use super::history::History;
use super::join_state::JoinState;
use super::join_state::Joining;
use super::list_proof::NewestListProof;
use super::list_regression::ListRegressionGuard;
use super::peers::Peers;
use super::pull_state::PullState;
use super::source_reads::SourceReads;
use super::version_store::VersionStore;
use crate::Action;
use crate::CatalogueItem;
use crate::Disseminate;
use crate::EndpointState;
use crate::Event;
use crate::Instance;
use crate::InstanceId;
use crate::LocalNode;
use crate::Origin;
use crate::PeerMessage;
use crate::PeerReply;
use crate::Phase;
use crate::SpreadConfig;
use crate::SpreadStatus;
use crate::Stream;
use crate::Tick;
use crate::admit::TokenBucket;
use crate::membership::MembershipTable;
use crate::quarantine::PendingAnswers;
use crate::quarantine::Reports;
use crate::reader::ContactClock;
use crate::reader::ReadBudget;
use crate::reader::ReaderRole;
use crate::reader::RelayTree;
use crate::reader::StalenessBounds;
use crate::reader::StalenessClock;

mod announce;
mod answer;
mod catch_up;
mod heartbeat;
mod join;
mod pull;
mod read;
mod reports;
mod states;
mod sync;
mod wakeup;

/// The dissemination state machine of one node, for versions and endpoint
/// states.
///
/// # Invariants
///
/// The revisions of the snapshots that it puts in force only grow, per stream.
/// Each head that it advertises is of a valid version whose body it holds, so
/// that a refused version is never offered to a peer.
#[derive(Debug)]
pub struct SpreadMachine {
    cfg: SpreadConfig,
    local: LocalNode,
    rng: SmallRng,
    join_state: JoinState,
    store: VersionStore,
    catalogue_history: History<CatalogueItem>,
    list_history: History<Instance>,
    peers: Peers,
    pulls: [PullState; 2],
    calls: Calls,
    gossip: Gossip,
    members: MembershipTable,
    reports: Reports,
    pending_answers: PendingAnswers,
    /// Rate limit of the reports that are forwarded at once.
    report_budget: TokenBucket,
    /// Number of reports that this process made.
    report_count: u64,
    own_state: EndpointState,
    /// The incarnation of another process that announces the same instance id.
    replaced_by: Option<u64>,
    role: ReaderRole,
    contact: ContactClock,
    bounds: StalenessBounds,
    staleness: StalenessClock,
    catch_up: CatchUp,
    relay_tree: RelayTree,
    heartbeat: NextHeartbeat,
    list_proof: NewestListProof,
    list_regression: ListRegressionGuard,
    budget: ReadBudget,
    reads: [SourceReads; 2],
    /// The origin of the held catalogue.
    catalogue_origin: Origin,
    /// Whether any list held so far named this node.
    was_listed: bool,
    started: Tick,
    last_event_at: Tick,
}

impl SpreadMachine {
    /// Creates the state of a node that starts at `now`; `seed` seeds its
    /// random choices.
    pub fn new(cfg: SpreadConfig, local: LocalNode, seed: u64, now: Tick) -> SpreadMachine {
        let mut rng = SmallRng::seed_from_u64(seed);
        let own_state = EndpointState {
            instance: local.id.clone(),
            incarnation: local.incarnation.get(),
            sequence: 0,
            phase: Phase::Starting,
        };
        let mut members = MembershipTable::new();
        members.merge(now, &own_state, None);
        SpreadMachine {
            join_state: JoinState::Joining(Joining::new(now)),
            store: VersionStore::default(),
            catalogue_history: history(Stream::Catalogue, &cfg),
            list_history: history(Stream::Instances, &cfg),
            peers: Peers::default(),
            pulls: [PullState::default(), PullState::default()],
            calls: Calls::new(cfg.call_timeout),
            gossip: Gossip::new(now),
            members,
            reports: Reports::default(),
            pending_answers: PendingAnswers::default(),
            report_budget: TokenBucket::full(),
            report_count: 0,
            own_state,
            replaced_by: None,
            role: ReaderRole::new(&cfg, &mut rng),
            contact: ContactClock::default(),
            bounds: StalenessBounds::new(cfg.staleness_bound),
            staleness: StalenessClock::default(),
            catch_up: CatchUp::default(),
            relay_tree: RelayTree::default(),
            heartbeat: NextHeartbeat::default(),
            list_proof: NewestListProof::default(),
            list_regression: ListRegressionGuard::default(),
            budget: ReadBudget::new(&cfg, &mut rng, now),
            reads: Stream::ALL.map(|stream| SourceReads::new(stream, &cfg)),
            catalogue_origin: Origin::Source,
            was_listed: false,
            started: now,
            last_event_at: now,
            rng,
            local,
            cfg,
        }
    }

    /// Handles an event and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Tick, event: Event, out: &mut Vec<Action>) {
        self.detect_pause(now, out);
        match event {
            Event::Wakeup => {}
            Event::Reply { call, reply } => self.handle_reply(now, call, reply, out),
            Event::CallFailed { call } => {
                if let Some(pending) = self.calls.finish(call) {
                    self.handle_call_failure(now, &pending, out);
                }
            }
            Event::SourceRead { stream, result } => {
                self.handle_source_result(now, stream, result, out)
            }
            Event::LocalPhase(phase) => self.enter_phase(now, phase, out),
            Event::Observed { observation, age } => {
                self.handle_observation(now, observation, age, out)
            }
            Event::Seeds(seeds) => self.local.seeds = seeds,
        }
        self.run_due_work(now, out);
    }

    /// Answers a peer's message and appends further actions to `out`.
    pub fn answer(
        &mut self,
        now: Tick,
        from: &InstanceId,
        message: PeerMessage,
        out: &mut Vec<Action>,
    ) -> PeerReply {
        self.detect_pause(now, out);
        let reply = self.answer_message(now, from, message, out);
        self.run_due_work(now, out);
        reply
    }

    /// The known states of the fleet's endpoints.
    pub fn states(&self) -> impl Iterator<Item = &EndpointState> {
        self.members.iter()
    }

    /// The status for operators.
    pub fn status(&self, now: Tick) -> SpreadStatus {
        let held = self.store.heads();
        let advertised = |stream: Stream| {
            self.pulls[stream as usize]
                .newest_advertised
                .or(held.of(stream))
        };
        SpreadStatus {
            joined: matches!(self.join_state, JoinState::Joined(_)),
            reading: self.role.is_reader(),
            rank: self.role.rank(),
            held,
            advertised: crate::Heads {
                catalogue: advertised(Stream::Catalogue),
                instances: advertised(Stream::Instances),
            },
            refused: self.store.last_refused(),
            peers: self.peers.len(),
            source_age: self.contact.age(now),
            staleness: self.staleness(now),
            list_proof: self.list_proof.current(now),
            conflicts: self.store.conflicts(),
            refusals: self.store.refusals(),
            reads: self.reads.iter().map(SourceReads::read_count).sum(),
        }
    }

    /// The control address of the sender of a message: the listed one, if it is
    /// listed.
    fn address(&self, from: &InstanceId, control: SocketAddr) -> Address {
        self.peers.find(from).unwrap_or(Address {
            id: Some(from.clone()),
            control,
        })
    }

    /// A random duration of 75 to 125 % of `mean`, so that nodes that started
    /// together don't stay synchronised.
    fn jittered(&mut self, mean: std::time::Duration) -> std::time::Duration {
        mean.mul_f64(self.rng.random_range(0.75..1.25))
    }
}

impl Disseminate for SpreadMachine {
    fn handle(&mut self, now: Tick, event: Event, out: &mut Vec<Action>) {
        SpreadMachine::handle(self, now, event, out);
    }

    fn answer(
        &mut self,
        now: Tick,
        from: &InstanceId,
        message: PeerMessage,
        out: &mut Vec<Action>,
    ) -> PeerReply {
        SpreadMachine::answer(self, now, from, message, out)
    }

    fn next_wakeup(&self) -> Tick {
        SpreadMachine::next_wakeup(self)
    }

    fn status(&self, now: Tick) -> SpreadStatus {
        SpreadMachine::status(self, now)
    }
}

fn history<T: crate::Item>(stream: Stream, cfg: &SpreadConfig) -> History<T> {
    History::new(stream, cfg.history_count, cfg.history_bytes)
}
