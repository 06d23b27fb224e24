//! A tiny fake of message passing: nodes, the platform and what goes wrong
//! between them, in simulated time and with seeded randomness.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::node;
use super::node::Arrival;
use super::node::Node;
use super::platform::Platform;
use crate::Action;
use crate::Event;
use crate::PeerReply;
use crate::Revision;
use crate::SpreadConfig;
use crate::Stream;
use crate::Tick;
use crate::history::History;

mod carry;
mod meddle;
mod record;

/// A catalogue that differs by `n`.
pub(super) fn good(n: u64) -> String {
    format!(
        "
kinds: {{lookup: {{weight: 1}}}}
services:
  workshop-desk:
    owner: fitting
    class: standard
    limits: {{rate_per_s: {}, concurrency: 10, deadline_ms: 1000}}
    routes:
      - {{path: /, kind: lookup, idempotent: true}}
",
        100 + n
    )
}

/// A platform that grants reads enough for a whole fleet that starts.
pub(super) fn ample_reads() -> SpreadConfig {
    SpreadConfig {
        reads_per_s: 16_000,
        assumed_fleet: 100,
        ..SpreadConfig::default()
    }
}

/// As on a platform whose reads are dear: small fleets read with all nodes.
pub(super) fn few_reads() -> SpreadConfig {
    SpreadConfig {
        readers: 6,
        all_read: 16,
        watch: Duration::from_secs(10),
        rest: Duration::from_millis(500),
        contact_bound: Duration::from_secs(10),
        assumed_fleet: 100,
        join_bound: Duration::from_millis(300),
        call_timeout: Duration::from_millis(500),
        backoff_base: Duration::from_millis(100),
        backoff_cap: Duration::from_secs(1),
        ..SpreadConfig::default()
    }
}

/// Nodes that have started and joined.
pub(super) fn joined_net(n: usize, seed: u64) -> Net {
    joined_net_with(n, seed, SpreadConfig::default())
}

/// The same with other settings.
pub(super) fn joined_net_with(n: usize, seed: u64, cfg: SpreadConfig) -> Net {
    let mut net = Net::new(n, seed, cfg);
    net.run_until(Duration::from_secs(20), |net| {
        net.up().all(|node| node.joined) && net.all_at(1)
    });
    net
}

#[derive(Debug)]
enum Due {
    Wake(Tick),
    Arrive(Box<Arrival>),
    Watch {
        stream: Stream,
        after: Option<Revision>,
        until: Tick,
    },
}

#[derive(Debug)]
pub(super) struct Net {
    pub(super) now: Tick,
    pub(super) cfg: SpreadConfig,
    pub(super) nodes: Vec<Option<Node>>,
    pub(super) platform: Platform,
    /// Nodes of different groups can't reach each other.
    pub(super) group: Vec<u32>,
    /// Nodes of these groups can't reach the platform.
    pub(super) cut_off: Vec<u32>,
    /// Nodes that the platform turns away.
    pub(super) turned_away: Vec<usize>,
    /// The pairs of nodes with a connection that was opened since the others fell silent.
    fresh: Option<BTreeSet<(usize, usize)>>,
    pub(super) loss_percent: u32,
    pub(super) double_percent: u32,
    pub(super) naive: bool,
    pub(super) seeds: Vec<std::net::SocketAddr>,
    /// Counts messages by kind.
    pub(super) messages: BTreeMap<&'static str, u64>,
    /// What was published and what came into force.
    pub(super) history: History,
    rng: SmallRng,
    queue: BinaryHeap<Reverse<(Tick, u64)>>,
    due: BTreeMap<u64, (usize, u32, Due)>,
    next: u64,
    generation: u32,
    /// When each node is woken next.
    wakes: Vec<Tick>,
    seed: u64,
}

impl Net {
    /// `n` nodes that start together, all of them listed.
    pub(super) fn new(n: usize, seed: u64, cfg: SpreadConfig) -> Net {
        let mut net = Net::idle(n, seed, cfg);
        for node in 0..n {
            net.start(node);
        }
        net
    }

    /// `n` listed nodes of which none has started.
    pub(super) fn idle(n: usize, seed: u64, cfg: SpreadConfig) -> Net {
        let mut platform = Platform::default();
        platform.list((0..n).map(node::instance).collect());
        let mut net = Net {
            now: Tick::ZERO,
            cfg: cfg.checked().unwrap(),
            nodes: (0..n).map(|_| None).collect(),
            platform,
            group: vec![0; n],
            cut_off: Vec::new(),
            turned_away: Vec::new(),
            fresh: None,
            loss_percent: 0,
            double_percent: 0,
            naive: false,
            seeds: Vec::new(),
            messages: BTreeMap::new(),
            history: History::new(),
            rng: SmallRng::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            due: BTreeMap::new(),
            next: 0,
            generation: 0,
            wakes: vec![Tick::from_micros(u64::MAX); n],
            seed,
        };
        net.publish(1, &good(1));
        net.record_list();
        net
    }

    pub(super) fn run_for(&mut self, span: Duration) {
        let end = self.now + span;
        while self.step(end) {}
        self.now = end;
    }

    /// Runs until `done` holds; fails the test after `bound`.
    pub(super) fn run_until(&mut self, bound: Duration, done: impl Fn(&Net) -> bool) -> Duration {
        let start = self.now;
        let end = start + bound;
        while !done(self) {
            if !self.step(end) {
                let mut counts = BTreeMap::new();
                for node in self.up() {
                    *counts.entry(node.applied.last()).or_insert(0) += 1;
                }
                panic!("not within {bound:?}: in force are {counts:?}");
            }
        }
        self.now.since(start)
    }

    pub(super) fn up(&self) -> impl Iterator<Item = &Node> {
        self.nodes.iter().flatten()
    }

    pub(super) fn node(&self, n: usize) -> &Node {
        self.nodes[n].as_ref().unwrap()
    }

    /// Whether every node has that revision of the catalogue in force.
    pub(super) fn all_at(&self, revision: u64) -> bool {
        self.up().all(|node| node.revision() == revision)
    }

    pub(super) fn assert_no_step_back(&self) {
        for (n, node) in self.nodes.iter().enumerate() {
            let back = node.as_ref().is_some_and(Node::stepped_back);
            assert!(!back, "node {n} stepped back");
        }
    }

    /// The nodes that read the platform as they see it.
    pub(super) fn readers(&self) -> Vec<usize> {
        let reads = |n: &usize| {
            let node = self.nodes[*n].as_ref();
            node.is_some_and(|node| node.machine.status(self.now).reading)
        };
        (0..self.nodes.len()).filter(reads).collect()
    }

    fn step(&mut self, end: Tick) -> bool {
        let Some(Reverse((at, key))) = self.queue.peek().copied() else {
            return false;
        };
        if at > end {
            return false;
        }
        self.queue.pop();
        self.now = self.now.max(at);
        let Some((n, generation, due)) = self.due.remove(&key) else {
            return true;
        };
        let Some(node) = &self.nodes[n] else {
            return true;
        };
        if node.generation != generation {
            return true;
        }
        match due {
            Due::Wake(wake) if node.paused || self.wakes[n] != wake => {}
            Due::Wake(_) => self.event(n, Event::Wakeup),
            Due::Arrive(arrival) => self.arrive(n, *arrival),
            Due::Watch { stream, .. } if self.platform.silent => {
                self.give_up(n, generation, stream, Duration::ZERO);
            }
            Due::Watch { stream, .. } => {
                let result = self.platform.unchanged(stream);
                self.arrive(n, Arrival::Event(Event::SourceRead { stream, result }));
            }
        }
        true
    }

    fn arrive(&mut self, n: usize, arrival: Arrival) {
        let Some(node) = &mut self.nodes[n] else {
            return;
        };
        if node.paused {
            node.backlog.push(arrival);
            return;
        }
        match arrival {
            Arrival::Event(event) => self.event(n, event),
            Arrival::Request {
                from,
                call,
                generation,
                message,
            } => {
                let mut out = Vec::new();
                let reply = node
                    .machine
                    .answer(self.now, &node::id(from), message, &mut out);
                node.bytes += postcard::to_stdvec(&reply).unwrap().len();
                self.carry_out(n, out);
                self.deliver_reply(n, from, generation, call, reply);
            }
        }
    }

    fn deliver_reply(
        &mut self,
        from: usize,
        to: usize,
        generation: u32,
        call: crate::CallId,
        reply: PeerReply,
    ) {
        if self.group[from] != self.group[to] || self.drawn(self.loss_percent) {
            return;
        }
        if matches!(reply, PeerReply::Body(Some(_)))
            && let Some(node) = &mut self.nodes[to]
        {
            node.bodies += 1;
        }
        let arrival = Arrival::Event(Event::Reply { call, reply });
        let at = self.now + self.delay();
        self.push(at, to, generation, Due::Arrive(Box::new(arrival)));
    }

    pub(super) fn event(&mut self, n: usize, event: Event) {
        let mut out = Vec::new();
        if let Some(node) = &mut self.nodes[n] {
            node.machine.handle(self.now, event, &mut out);
        }
        self.carry_out(n, out);
    }

    fn carry_out(&mut self, n: usize, out: Vec<Action>) {
        for action in out {
            match action {
                Action::Send(call) => self.send(n, *call),
                Action::ReadSource {
                    stream,
                    after,
                    wait,
                    freshness,
                    ..
                } => self.read(n, stream, after, wait, freshness),
                other => {
                    self.record(n, &other);
                    self.nodes[n].as_mut().unwrap().note(other);
                }
            }
        }
        let node = self.nodes[n].as_ref().unwrap();
        let (wake, generation) = (node.machine.next_wakeup(), node.generation);
        if wake != self.wakes[n] {
            self.wakes[n] = wake;
            // Timers are late.
            let at = wake.max(self.now) + self.delay();
            self.push(at, n, generation, Due::Wake(wake));
        }
    }

    fn push(&mut self, at: Tick, n: usize, generation: u32, due: Due) {
        self.next += 1;
        self.due.insert(self.next, (n, generation, due));
        self.queue.push(Reverse((at, self.next)));
    }

    fn delay(&mut self) -> Duration {
        Duration::from_micros(self.rng.random_range(200..3_000))
    }

    fn drawn(&mut self, percent: u32) -> bool {
        percent > 0 && self.rng.random_range(0..100) < percent
    }
}
