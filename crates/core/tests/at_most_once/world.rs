//! A small fleet with its callers, stepped by hand.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use sassafrasspool_core::Attempt;
use sassafrasspool_core::Begin;
use sassafrasspool_core::InstanceList;
use sassafrasspool_core::Loss;
use sassafrasspool_core::LossCause;
use sassafrasspool_core::Outcome;
use sassafrasspool_core::Refusal;
use sassafrasspool_core::Revision;
use sassafrasspool_core::Running;
use sassafrasspool_core::ServiceName;
use sassafrasspool_core::StoredAnswer;
use sassafrasspool_core::Tick;
use sassafrasspool_core::history::Bounds;
use sassafrasspool_core::history::Event;
use sassafrasspool_core::history::History;
use sassafrasspool_core::history::OperationId;
use sassafrasspool_core::history::Promise;
use sassafrasspool_core::history::RequestId;
use sassafrasspool_core::history::check;

use self::setup::Routing;
use self::setup::id;
use self::setup::key;
use self::setup::list;
use self::setup::routing;
use super::fault::Fault;
use super::node::HOLD;
use super::node::Known;
use super::node::LEASE;
use super::node::Node;
use super::step::Step;

mod setup;
mod told;

const NODES: usize = 4;
/// All nodes, a bit each.
const ALL: u8 = (1 << NODES) - 1;

/// A request on its way from a first hop to an owner.
struct Sent {
    request: RequestId,
    attempt: Attempt,
    hop: usize,
    owner: usize,
    at: Tick,
}

/// A request that its owner runs, or is about to.
struct Open {
    sent: Sent,
    running: Running,
    handed_over: bool,
}

/// What a caller remembers of an operation.
struct Operation {
    first_at: Tick,
    ended: bool,
}

/// The fleet, the source, the callers and the record of what happened.
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
        let known = Known {
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
        world.rest(200_000);
        world
    }

    pub(crate) fn operations(&self) -> usize {
        self.operations.len()
    }

    pub(crate) fn runs(&self) -> usize {
        self.runs
    }

    /// Every violation of the run.
    pub(crate) fn finish(self) -> Vec<String> {
        let ours = [Promise::AtMostOnce, Promise::TrueRefusal];
        let found = check(&self.history, &Bounds::default());
        let found = found.iter().filter(|v| ours.contains(&v.promise()));
        let told = found.map(ToString::to_string);
        told.chain(self.false_not_run).collect()
    }

    pub(crate) fn take(&mut self, step: Step) {
        match step {
            Step::Wait(ms) => self.now = self.now + Duration::from_millis(ms),
            Step::Rest(ms) => self.rest(ms),
            Step::Publish(i) => self.publish(i % NODES),
            Step::Read(i) => self.read(i % NODES),
            Step::Tell(i, j) => self.tell(i % NODES, j % NODES),
            Step::Cut(i, cut) => self.nodes[i % NODES].cut = cut,
            Step::Pause(i, paused) => self.nodes[i % NODES].paused = paused,
            Step::Restart(i) => self.restart(i % NODES),
            Step::Ask(i) => self.ask(i % NODES),
            Step::Repeat(op, i) => self.repeat(op, i % NODES),
            Step::Deliver(i) => self.deliver(i),
            Step::HandOver(i) => self.hand_over(i),
            Step::Answer(i, arrives) => self.answer(i, arrives),
        }
        if self.fault == Fault::LeaseIgnored {
            for node in &self.nodes {
                let revision = node.known.list.version().revision();
                node.window.prove(self.now, revision);
            }
        }
    }

    fn rest(&mut self, ms: u64) {
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
        if self.nodes[i].cut || self.nodes[i].paused {
            return;
        }
        let heard = Known {
            list: self.source.clone(),
            proved: (self.source.version().revision(), self.now),
        };
        self.nodes[i].learn(self.now, &heard, self.fault);
    }

    fn tell(&mut self, from: usize, to: usize) {
        if from == to || !self.reach(from, to) {
            return;
        }
        let heard = self.nodes[from].known.clone();
        self.nodes[to].learn(self.now, &heard, self.fault);
    }

    /// Whether two nodes run and stand on the same side.
    fn reach(&self, a: usize, b: usize) -> bool {
        let (a, b) = (&self.nodes[a], &self.nodes[b]);
        a.cut == b.cut && !a.paused && !b.paused
    }

    /// Connections end with the process, and what it ran has no known outcome.
    fn restart(&mut self, i: usize) {
        let gone = |sent: &Sent| sent.owner == i || sent.hop == i;
        let lost: Vec<_> = self.sent.extract_if(.., |sent| gone(sent)).collect();
        let open: Vec<_> = self.open.extract_if(.., |open| gone(&open.sent)).collect();
        for sent in lost.iter().chain(open.iter().map(|open| &open.sent)) {
            self.tell_unknown(sent.request);
        }
        drop(open);
        self.nodes[i].restart(self.now, self.fault);
    }

    fn ask(&mut self, hop: usize) {
        let operation = OperationId(self.operations.len() as u64);
        self.operations.push(Operation {
            first_at: self.now,
            ended: false,
        });
        let attempt = match operation.0 % 4 {
            0 => Attempt::MayRepeat,
            _ => Attempt::First,
        };
        self.send(operation, attempt, hop);
    }

    fn repeat(&mut self, op: usize, hop: usize) {
        let newest = self.operations.len();
        let Some(op) = newest.checked_sub(1 + op % newest.clamp(1, 8)) else {
            return;
        };
        let held = &self.operations[op];
        if held.ended || self.now.since(held.first_at) > HOLD {
            return;
        }
        let attempt = match self.fault {
            Fault::EveryAttemptFirst => Attempt::First,
            _ => Attempt::MayRepeat,
        };
        self.send(OperationId(op as u64), attempt, hop);
    }

    fn send(&mut self, operation: OperationId, attempt: Attempt, hop: usize) {
        let request = RequestId(self.requests.len() as u64);
        self.requests.insert(request, operation);
        if self.ran.contains(&operation) {
            self.sent_after_run.insert(request);
        }
        let event = Event::Sent {
            request,
            operation,
            repeatable: false,
        };
        self.history.record(self.now, event);
        if self.nodes[hop].paused {
            return self.tell_unknown(request);
        }
        match self.owner(hop, operation) {
            Ok(owner) => self.sent.push(Sent {
                request,
                attempt,
                hop,
                owner,
                at: self.now,
            }),
            Err(refusal) => self.refuse(request, attempt, refusal),
        }
    }

    /// The owner of a key as a first hop chooses it.
    fn owner(&mut self, hop: usize, operation: OperationId) -> Result<usize, Refusal> {
        let list = &self.nodes[hop].known.list;
        let revision = list.version().revision();
        let routing = self
            .routing
            .entry(revision)
            .or_insert_with(|| routing(list));
        let service = ServiceName::new("adjuster-desk").unwrap();
        let (service, _) = routing.snapshot.find_service(&service).unwrap();
        let key = key(operation);
        let picked = routing.picker.pick_owner(service, self.now, &key)?;
        let chosen = routing.snapshot.endpoint(picked.endpoint()).unwrap();
        Ok((0..NODES).find(|i| id(*i) == chosen.instance.id).unwrap())
    }

    fn deliver(&mut self, i: usize) {
        let Some(i) = i.checked_rem(self.sent.len()) else {
            return;
        };
        if !self.reach(self.sent[i].hop, self.sent[i].owner) {
            return;
        }
        let sent = self.sent.swap_remove(i);
        if self.now.since(sent.at) > LEASE {
            return self.tell_unknown(sent.request);
        }
        let key = key(self.requests[&sent.request]);
        let window = &self.nodes[sent.owner].window;
        match window.begin(self.now, key, sent.attempt) {
            Begin::Run(running) => self.open.push(Open {
                sent,
                running,
                handed_over: false,
            }),
            Begin::Answer(_) => self.tell_answer(sent.request),
            Begin::Refuse(refusal) => self.refuse(sent.request, sent.attempt, refusal),
        }
    }

    fn hand_over(&mut self, i: usize) {
        let Some(i) = i.checked_rem(self.open.len()) else {
            return;
        };
        let open = &self.open[i];
        if open.handed_over || self.nodes[open.sent.owner].paused {
            return;
        }
        let mut open = self.open.swap_remove(i);
        match open.running.check(self.now) {
            Ok(running) => open.running = running,
            Err(refusal) => return self.refuse(open.sent.request, open.sent.attempt, refusal),
        }
        open.handed_over = true;
        let request = open.sent.request;
        let target = self.nodes[open.sent.owner].id.clone();
        self.ran.insert(self.requests[&request]);
        self.runs += 1;
        self.history
            .record(self.now, Event::RunStarted { request, target });
        self.open.push(open);
    }

    fn answer(&mut self, i: usize, arrives: bool) {
        let Some(i) = i.checked_rem(self.open.len()) else {
            return;
        };
        let open = &self.open[i];
        if !open.handed_over || self.nodes[open.sent.owner].paused {
            return;
        }
        let open = self.open.swap_remove(i);
        if open.sent.request.0.is_multiple_of(3) {
            // The target broke off: nothing is known.
            self.lose(open.running);
            return self.tell_unknown(open.sent.request);
        }
        let answer = StoredAnswer {
            status: 200,
            headers: Vec::new(),
            body: Vec::new(),
        };
        open.running.done(self.now, answer);
        if arrives && self.reach(open.sent.hop, open.sent.owner) {
            self.tell_answer(open.sent.request);
        } else {
            self.tell_unknown(open.sent.request);
        }
    }

    fn lose(&self, running: Running) {
        let lost = Loss::new(
            sassafrasspool_core::Step::Forward,
            LossCause::ConnectionLost,
        );
        assert_eq!(lost.outcome(), Outcome::Unknown);
        match self.fault {
            Fault::LostForgotten => {
                let step = sassafrasspool_core::Step::Forward;
                let reason = sassafrasspool_core::Reason::Connect;
                let _ = running.refused(Refusal::not_run(step, reason));
            }
            _ => running.lost(self.now),
        }
    }
}
