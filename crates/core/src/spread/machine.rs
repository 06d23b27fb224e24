//! One node's part in spreading versions.
//!
//! The parts are held by types of their own; the files beside this one tell
//! what each event does to them.

use std::net::SocketAddr;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::calls::Address;
use super::calls::Calls;
use super::gossip::Gossip;
use super::history::History;
use super::holder::Holder;
use super::lapse::Lapse;
use super::life::Joining;
use super::life::Life;
use super::list_proof::ListClock;
use super::peers::Peers;
use super::pulls::Pulls;
use super::source::SourceReads;
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
use crate::admit::Bucket;
use crate::membership::Members;
use crate::quarantine::PendingAnswers;
use crate::quarantine::Reports;
use crate::reader::ContactClock;
use crate::reader::ReadBudget;
use crate::reader::Role;

mod announce;
mod answer;
mod join;
mod pull;
mod read;
mod reports;
mod states;
mod sync;
mod wakeup;

/// One node's part in spreading versions and endpoint states.
///
/// # Invariants
///
/// What was handed out to be put in force only grows in revision, per stream.
/// Every head that is told to peers is of a version that was judged good and
/// whose body is held, so that a refused version is never offered to anyone.
#[derive(Debug)]
pub struct Spread {
    cfg: SpreadConfig,
    local: LocalNode,
    rng: SmallRng,
    life: Life,
    holder: Holder,
    catalogues: History<CatalogueItem>,
    lists: History<Instance>,
    peers: Peers,
    pulls: [Pulls; 2],
    calls: Calls,
    gossip: Gossip,
    members: Members,
    reports: Reports,
    pending_answers: PendingAnswers,
    /// Bounds the reports that are told on at once.
    telling: Bucket,
    /// Counts the reports of this process.
    reported: u64,
    own: EndpointState,
    /// The incarnation of another process with this node's name.
    replaced_by: Option<u64>,
    role: Role,
    contact: ContactClock,
    list: ListClock,
    lapse: Lapse,
    budget: ReadBudget,
    reads: [SourceReads; 2],
    /// Who gave the catalogue that is held.
    giver: Origin,
    /// Whether a list that it held named it.
    was_listed: bool,
    started: Tick,
    last: Tick,
}

impl Spread {
    /// A node that starts at `now`; `seed` decides its random choices.
    pub fn new(cfg: SpreadConfig, local: LocalNode, seed: u64, now: Tick) -> Spread {
        let mut rng = SmallRng::seed_from_u64(seed);
        let own = EndpointState {
            instance: local.id.clone(),
            incarnation: local.incarnation.get(),
            sequence: 0,
            phase: Phase::Starting,
        };
        let mut members = Members::new();
        members.merge(now, &own, None);
        Spread {
            life: Life::Joining(Joining::new(now)),
            holder: Holder::default(),
            catalogues: history(Stream::Catalogue, &cfg),
            lists: history(Stream::Instances, &cfg),
            peers: Peers::default(),
            pulls: [Pulls::default(), Pulls::default()],
            calls: Calls::new(cfg.call_timeout),
            gossip: Gossip::new(now),
            members,
            reports: Reports::default(),
            pending_answers: PendingAnswers::default(),
            telling: Bucket::full(),
            reported: 0,
            own,
            replaced_by: None,
            role: Role::new(&cfg, &mut rng),
            contact: ContactClock::default(),
            list: ListClock::default(),
            lapse: Lapse::default(),
            budget: ReadBudget::new(&cfg, &mut rng, now),
            reads: Stream::ALL.map(|stream| SourceReads::new(stream, &cfg)),
            giver: Origin::Source,
            was_listed: false,
            started: now,
            last: now,
            rng,
            local,
            cfg,
        }
    }

    /// Takes in an event and appends what is to be done to `out`.
    pub fn handle(&mut self, now: Tick, event: Event, out: &mut Vec<Action>) {
        self.notice_pause(now, out);
        match event {
            Event::Wakeup => {}
            Event::Reply { call, reply } => self.replied(now, call, reply, out),
            Event::CallFailed { call } => {
                if let Some(waiting) = self.calls.finish(call) {
                    self.call_failed(now, &waiting, out);
                }
            }
            Event::SourceRead { stream, result } => self.source_read(now, stream, result, out),
            Event::LocalPhase(phase) => self.enter_phase(now, phase, out),
            Event::Sighted { sighting, ago } => self.sighted(now, sighting, ago, out),
            Event::Seeds(seeds) => self.local.seeds = seeds,
        }
        self.do_what_is_due(now, out);
    }

    /// Answers a peer's message; what is to be done besides goes to `out`.
    pub fn answer(
        &mut self,
        now: Tick,
        from: &InstanceId,
        message: PeerMessage,
        out: &mut Vec<Action>,
    ) -> PeerReply {
        self.notice_pause(now, out);
        let reply = self.answer_message(now, from, message, out);
        self.do_what_is_due(now, out);
        reply
    }

    /// What is known of the endpoints of the fleet.
    pub fn states(&self) -> impl Iterator<Item = &EndpointState> {
        self.members.iter()
    }

    /// What there is to tell operators.
    pub fn status(&self, now: Tick) -> SpreadStatus {
        let held = self.holder.heads();
        let heard = |stream: Stream| self.pulls[stream as usize].heard.or(held.of(stream));
        SpreadStatus {
            joined: matches!(self.life, Life::Joined(_)),
            reading: self.role.reads(),
            rank: self.role.rank(),
            held,
            heard: crate::Heads {
                catalogue: heard(Stream::Catalogue),
                instances: heard(Stream::Instances),
            },
            refused: self.holder.last_refused(),
            peers: self.peers.len(),
            source_age: self.contact.age(now),
            list: self.list.current(now),
            conflicts: self.holder.conflicts(),
            refusals: self.holder.refusals(),
            reads: self.reads.iter().map(SourceReads::count).sum(),
        }
    }

    /// Where a peer that sent a message can be called.
    fn address(&self, from: &InstanceId, control: SocketAddr) -> Address {
        self.peers.find(from).unwrap_or(Address {
            id: Some(from.clone()),
            control,
        })
    }

    /// A time around `mean`, so that nodes that started together don't stay
    /// in step.
    fn jittered(&mut self, mean: std::time::Duration) -> std::time::Duration {
        mean.mul_f64(self.rng.random_range(0.75..1.25))
    }
}

impl Disseminate for Spread {
    fn handle(&mut self, now: Tick, event: Event, out: &mut Vec<Action>) {
        Spread::handle(self, now, event, out);
    }

    fn answer(
        &mut self,
        now: Tick,
        from: &InstanceId,
        message: PeerMessage,
        out: &mut Vec<Action>,
    ) -> PeerReply {
        Spread::answer(self, now, from, message, out)
    }

    fn next_wakeup(&self) -> Tick {
        Spread::next_wakeup(self)
    }

    fn status(&self, now: Tick) -> SpreadStatus {
        Spread::status(self, now)
    }
}

fn history<T: crate::Item>(stream: Stream, cfg: &SpreadConfig) -> History<T> {
    History::new(stream, cfg.history_count, cfg.history_bytes)
}
