//! A simulation of a small fleet and its callers, driven step by step.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use sassafrasspool_core::Attempt;
use sassafrasspool_core::InstanceList;
use sassafrasspool_core::Revision;
use sassafrasspool_core::RunPermit;
use sassafrasspool_core::Tick;
use sassafrasspool_core::history::Bounds;
use sassafrasspool_core::history::Guarantee;
use sassafrasspool_core::history::History;
use sassafrasspool_core::history::OperationId;
use sassafrasspool_core::history::RequestId;
use sassafrasspool_core::history::check;

use self::setup::Routing;
use self::setup::id;
use self::setup::list;
use super::fault::Fault;
use super::node::KnownList;
use super::node::Node;
use super::step::Step;

mod calls;
mod outcomes;
mod setup;

const NODES: usize = 4;
/// The mask of all nodes, one bit each.
const ALL: u8 = (1 << NODES) - 1;

/// A request in flight from a first hop to an owner.
struct Sent {
    request: RequestId,
    attempt: Attempt,
    hop: usize,
    owner: usize,
    at: Tick,
}

/// A request with a permit of its owner, before or after the hand-over.
struct Open {
    sent: Sent,
    permit: RunPermit,
    handed_over: bool,
}

/// A caller's state of an operation.
struct Operation {
    first_at: Tick,
    ended: bool,
}

/// The fleet, the source, the callers and the history of the run.
pub(crate) struct World {
    fault: Fault,
    now: Tick,
    source: InstanceList,
    listed: u8,
    routing: HashMap<Revision, Routing>,
    nodes: Vec<Node>,
    sent: Vec<Sent>,
    open: Vec<Open>,
    operations: Vec<Operation>,
    requests: HashMap<RequestId, OperationId>,
    ran: HashSet<OperationId>,
    sent_after_run: HashSet<RequestId>,
    false_not_run: Vec<String>,
    history: History,
    runs: usize,
}

impl World {
    pub(crate) fn new(fault: Fault) -> World {
        let source = list(1, ALL);
        let now = Tick::from_millis(1_000);
        let known = KnownList {
            list: source.clone(),
            proved: (source.version().revision(), now),
        };
        let node = |i: usize| Node::new(id(i), known.clone(), fault);
        let mut world = World {
            fault,
            now,
            source,
            listed: ALL,
            routing: HashMap::new(),
            nodes: (0..NODES).map(node).collect(),
            sent: Vec::new(),
            open: Vec::new(),
            operations: Vec::new(),
            requests: HashMap::new(),
            ran: HashSet::new(),
            sent_after_run: HashSet::new(),
            false_not_run: Vec::new(),
            history: History::new(),
            runs: 0,
        };
        world.wait_in_sync(200_000);
        world
    }

    pub(crate) fn operations(&self) -> usize {
        self.operations.len()
    }

    pub(crate) fn runs(&self) -> usize {
        self.runs
    }

    /// Returns every violation of the run.
    pub(crate) fn finish(self) -> Vec<String> {
        let checked = [Guarantee::AtMostOnce, Guarantee::TrueRefusal];
        let found = check(&self.history, &Bounds::default());
        let found = found.iter().filter(|v| checked.contains(&v.guarantee()));
        let violations = found.map(ToString::to_string);
        violations.chain(self.false_not_run).collect()
    }

    pub(crate) fn apply(&mut self, step: Step) {
        match step {
            Step::Wait(ms) => self.now = self.now + Duration::from_millis(ms),
            Step::WaitInSync(ms) => self.wait_in_sync(ms),
            Step::Publish(i) => self.publish(i % NODES),
            Step::Read(i) => self.read(i % NODES),
            Step::Gossip(i, j) => self.gossip(i % NODES, j % NODES),
            Step::Partition(i, partitioned) => self.nodes[i % NODES].partitioned = partitioned,
            Step::Pause(i, paused) => self.nodes[i % NODES].paused = paused,
            Step::Restart(i) => self.restart(i % NODES),
            Step::NewOperation(i) => self.start_operation(i % NODES),
            Step::Repeat(op, i) => self.repeat(op, i % NODES),
            Step::Deliver(i) => self.deliver(i),
            Step::HandOver(i) => self.hand_over(i),
            Step::Answer(i, arrives) => self.answer(i, arrives),
        }
        if self.fault == Fault::LeaseIgnored {
            for node in &self.nodes {
                let revision = node.known.list.version().revision();
                node.window.record_proof(self.now, revision);
            }
        }
    }

    fn wait_in_sync(&mut self, ms: u64) {
        let end = self.now + Duration::from_millis(ms);
        while self.now < end {
            self.now = self.now + Duration::from_millis(2_500);
            (0..NODES).for_each(|i| self.read(i));
        }
    }

    fn publish(&mut self, i: usize) {
        let revision = self.source.version().revision().get() + 1;
        self.listed ^= 1 << i;
        self.source = list(revision, self.listed);
    }

    fn read(&mut self, i: usize) {
        if self.nodes[i].partitioned || self.nodes[i].paused {
            return;
        }
        let received = KnownList {
            list: self.source.clone(),
            proved: (self.source.version().revision(), self.now),
        };
        self.nodes[i].merge(self.now, &received, self.fault);
    }

    fn gossip(&mut self, from: usize, to: usize) {
        if from == to || !self.can_reach(from, to) {
            return;
        }
        let received = self.nodes[from].known.clone();
        self.nodes[to].merge(self.now, &received, self.fault);
    }

    /// Whether two nodes run and are on the same side of the partition.
    fn can_reach(&self, a: usize, b: usize) -> bool {
        let (a, b) = (&self.nodes[a], &self.nodes[b]);
        a.partitioned == b.partitioned && !a.paused && !b.paused
    }

    /// Restarts a node. Its connections end, and the outcome of the requests on
    /// them is unknown.
    fn restart(&mut self, i: usize) {
        let is_affected = |sent: &Sent| sent.owner == i || sent.hop == i;
        let in_flight: Vec<_> = self.sent.extract_if(.., |sent| is_affected(sent)).collect();
        let open: Vec<_> = self
            .open
            .extract_if(.., |open| is_affected(&open.sent))
            .collect();
        for sent in in_flight.iter().chain(open.iter().map(|open| &open.sent)) {
            self.record_unknown(sent.request);
        }
        drop(open);
        self.nodes[i].restart(self.now, self.fault);
    }
}
