//! A simulated network: nodes, the platform and faults between them, in simulated
//! time and with seeded randomness.

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

mod control;
mod record;
mod transport;

/// The text of a valid catalogue whose content depends on `n`.
pub(super) fn valid_catalogue(n: u64) -> String {
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

/// The platform allows enough reads for the start of a whole fleet.
pub(super) fn ample_reads_config() -> SpreadConfig {
    SpreadConfig {
        reads_per_s: 16_000,
        assumed_fleet: 100,
        ..SpreadConfig::default()
    }
}

/// Settings for a platform with scarce reads; in small fleets every node reads.
pub(super) fn scarce_reads_config() -> SpreadConfig {
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

/// A fleet whose nodes have started and joined.
pub(super) fn joined_net(n: usize, seed: u64) -> Net {
    joined_net_with(n, seed, SpreadConfig::default())
}

/// As [`joined_net`], with other settings.
pub(super) fn joined_net_with(n: usize, seed: u64, cfg: SpreadConfig) -> Net {
    let mut net = Net::new(n, seed, cfg);
    net.run_until(Duration::from_secs(20), |net| {
        net.running().all(|node| node.joined) && net.all_at_revision(1)
    });
    net
}

#[derive(Debug)]
enum Scheduled {
    Wakeup(Tick),
    Arrival(Box<Arrival>),
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
    pub(super) cut_off_groups: Vec<u32>,
    /// Nodes whose reads the platform rejects.
    pub(super) rejected_nodes: Vec<usize>,
    /// Nodes whose reads the platform rejects as too many.
    pub(super) busy_nodes: Vec<usize>,
    /// Nodes whose reads the platform never answers, and whose watches it dropped.
    pub(super) unanswered_nodes: Vec<usize>,
    /// Whether a call to a node that can't be reached hangs until its timeout.
    pub(super) calls_hang: bool,
    /// Pairs of nodes that opened a connection after the others became silent.
    fresh_connections: Option<BTreeSet<(usize, usize)>>,
    pub(super) loss_percent: u32,
    pub(super) duplicate_percent: u32,
    pub(super) naive: bool,
    pub(super) seeds: Vec<std::net::SocketAddr>,
    /// Number of messages by kind.
    pub(super) messages: BTreeMap<&'static str, u64>,
    /// The published versions and the versions in force, over time.
    pub(super) history: History,
    rng: SmallRng,
    queue: BinaryHeap<Reverse<(Tick, u64)>>,
    scheduled: BTreeMap<u64, (usize, u32, Scheduled)>,
    /// The key of the event that was scheduled last.
    last_key: u64,
    generation: u32,
    /// The next wakeup of each node.
    wakeups: Vec<Tick>,
    seed: u64,
}

impl Net {
    /// `n` listed nodes that start at the same time.
    pub(super) fn new(n: usize, seed: u64, cfg: SpreadConfig) -> Net {
        let mut net = Net::stopped(n, seed, cfg);
        for node in 0..n {
            net.start(node);
        }
        net
    }

    /// `n` listed nodes that have not started.
    pub(super) fn stopped(n: usize, seed: u64, cfg: SpreadConfig) -> Net {
        let mut platform = Platform::default();
        platform.publish_list((0..n).map(node::instance).collect());
        let mut net = Net {
            now: Tick::ZERO,
            cfg: cfg.checked().unwrap(),
            nodes: (0..n).map(|_| None).collect(),
            platform,
            group: vec![0; n],
            cut_off_groups: Vec::new(),
            rejected_nodes: Vec::new(),
            busy_nodes: Vec::new(),
            unanswered_nodes: Vec::new(),
            calls_hang: false,
            fresh_connections: None,
            loss_percent: 0,
            duplicate_percent: 0,
            naive: false,
            seeds: Vec::new(),
            messages: BTreeMap::new(),
            history: History::new(),
            rng: SmallRng::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            scheduled: BTreeMap::new(),
            last_key: 0,
            generation: 0,
            wakeups: vec![Tick::from_micros(u64::MAX); n],
            seed,
        };
        net.publish(1, &valid_catalogue(1));
        net.record_list();
        net
    }

    pub(super) fn run_for(&mut self, span: Duration) {
        let end = self.now + span;
        while self.step(end) {}
        self.now = end;
    }

    /// Runs until `complete` returns true and returns the simulated time that took. Panics
    /// after `bound`.
    pub(super) fn run_until(&mut self, bound: Duration, done: impl Fn(&Net) -> bool) -> Duration {
        let start = self.now;
        let end = start + bound;
        while !done(self) {
            if !self.step(end) {
                let mut counts = BTreeMap::new();
                for node in self.running() {
                    *counts.entry(node.applied.last()).or_insert(0) += 1;
                }
                panic!("not done within {bound:?}; revisions in force by node count: {counts:?}");
            }
        }
        self.now.since(start)
    }

    pub(super) fn running(&self) -> impl Iterator<Item = &Node> {
        self.nodes.iter().flatten()
    }

    pub(super) fn node(&self, n: usize) -> &Node {
        self.nodes[n].as_ref().unwrap()
    }

    /// Whether every running node has that revision of the catalogue in force.
    pub(super) fn all_at_revision(&self, revision: u64) -> bool {
        self.running().all(|node| node.revision() == revision)
    }

    pub(super) fn assert_no_step_back(&self) {
        for (n, node) in self.nodes.iter().enumerate() {
            let back = node.as_ref().is_some_and(Node::stepped_back);
            assert!(!back, "node {n} stepped back");
        }
    }

    /// The nodes that report themselves as readers.
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
        let Some((n, generation, event)) = self.scheduled.remove(&key) else {
            return true;
        };
        let Some(node) = &self.nodes[n] else {
            return true;
        };
        if node.generation != generation {
            return true;
        }
        match event {
            Scheduled::Wakeup(wake) if node.paused || self.wakeups[n] != wake => {}
            Scheduled::Wakeup(_) => self.handle_event(n, Event::Wakeup),
            Scheduled::Arrival(arrival) => self.arrive(n, *arrival),
            Scheduled::Watch { stream, .. }
                if self.platform.silent || self.unanswered_nodes.contains(&n) =>
            {
                self.time_out_read(n, generation, stream, Duration::ZERO);
            }
            Scheduled::Watch { stream, .. } if !self.reaches_platform(n) => {
                self.fail_read(n, generation, stream, Duration::ZERO);
            }
            Scheduled::Watch { stream, .. } => {
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
            Arrival::Event(event) => self.handle_event(n, event),
            Arrival::Request {
                from,
                call,
                generation,
                message,
            } => {
                let mut actions = Vec::new();
                let reply = node
                    .machine
                    .answer(self.now, &node::id(from), message, &mut actions);
                node.bytes_sent += postcard::to_stdvec(&reply).unwrap().len();
                self.carry_out(n, actions);
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
        if self.group[from] != self.group[to] || self.chance(self.loss_percent) {
            return;
        }
        if matches!(reply, PeerReply::Body(Some(_)))
            && let Some(node) = &mut self.nodes[to]
        {
            node.bodies_received += 1;
        }
        let arrival = Arrival::Event(Event::Reply { call, reply });
        let at = self.now + self.delay();
        self.push(at, to, generation, Scheduled::Arrival(Box::new(arrival)));
    }

    pub(super) fn handle_event(&mut self, n: usize, event: Event) {
        let mut actions = Vec::new();
        if let Some(node) = &mut self.nodes[n] {
            node.machine.handle(self.now, event, &mut actions);
        }
        self.carry_out(n, actions);
    }

    fn carry_out(&mut self, n: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(call) => self.send(n, *call),
                Action::ReadSource {
                    stream,
                    after,
                    wait,
                    freshness,
                    ..
                } => self.start_read(n, stream, after, wait, freshness),
                other => {
                    self.record(n, &other);
                    self.nodes[n].as_mut().unwrap().record(other);
                }
            }
        }
        let node = self.nodes[n].as_ref().unwrap();
        let (wake, generation) = (node.machine.next_wakeup(), node.generation);
        if wake != self.wakeups[n] {
            self.wakeups[n] = wake;
            // Timers fire late.
            let at = wake.max(self.now) + self.delay();
            self.push(at, n, generation, Scheduled::Wakeup(wake));
        }
    }

    fn push(&mut self, at: Tick, n: usize, generation: u32, event: Scheduled) {
        self.last_key += 1;
        self.scheduled.insert(self.last_key, (n, generation, event));
        self.queue.push(Reverse((at, self.last_key)));
    }

    fn delay(&mut self) -> Duration {
        Duration::from_micros(self.rng.random_range(200..3_000))
    }

    /// Returns true with a probability of `percent`.
    fn chance(&mut self, percent: u32) -> bool {
        percent > 0 && self.rng.random_range(0..100) < percent
    }
}
