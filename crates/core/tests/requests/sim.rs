//! A discrete-event simulation of callers' nodes and targets' nodes.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use sassafrasspool_core::Catalogue;
use sassafrasspool_core::Class;
use sassafrasspool_core::InstanceList;
use sassafrasspool_core::Intake;
use sassafrasspool_core::Limits;
use sassafrasspool_core::Meters;
use sassafrasspool_core::Permit;
use sassafrasspool_core::Picker;
use sassafrasspool_core::Refusal;
use sassafrasspool_core::Revision;
use sassafrasspool_core::ServiceKey;
use sassafrasspool_core::ServiceName;
use sassafrasspool_core::Snapshot;
use sassafrasspool_core::Tick;
use sassafrasspool_core::catalogue;
use sassafrasspool_core::history::Bounds;
use sassafrasspool_core::history::Event;
use sassafrasspool_core::history::History;
use sassafrasspool_core::history::check;

use self::call::Call;
use self::setup::caller;
use self::setup::exponential;
use self::setup::instance;
use super::endpoint::Endpoint;
use super::load::Load;
use super::policy::Policy;
use super::tally::Tally;

pub(crate) use self::faults::Fault;
pub(crate) use self::faults::FaultKind;

mod call;
mod calls;
mod faults;
mod setup;

const ENDPOINTS: usize = 5;
const DOMAINS: [&str; 3] = ["bayanzurkh", "khan-uul", "sukhbaatar"];
const ONE_WAY_LATENCY: Duration = Duration::from_micros(500);
const DEADLINE: Duration = Duration::from_secs(1);
const MEAN_SERVICE_US: u64 = 50_000;
/// How long the announcement of a draining target takes to reach other nodes.
const ANNOUNCEMENT_DELAY: Duration = Duration::from_millis(300);
const DRAIN_BOUND: Duration = Duration::from_secs(20);
const CATALOGUE: &str = "
services:
  workshop-desk:
    owner: fitting
    class: standard
    limits:
      {rate_per_s: 100000, concurrency: 10, deadline_ms: 1000, retry: {attempts: 2, budget_percent: 10}}
";

/// A scheduled event, most with the id of a request or the index of an endpoint.
#[derive(Debug)]
enum Work {
    Arrive(u64, Class),
    ReachEndpoint(u64),
    ExpireQueued(u64),
    FinishRun(u64),
    TimeOut(u64),
    Fault(FaultKind),
    IntakeAnnounced(usize, u64, Intake),
    PollDrain(usize),
}

type Wakes = Arc<Mutex<Vec<(u64, Result<Permit, Refusal>)>>>;

/// The state of the simulation.
pub(crate) struct Sim {
    policy: Policy,
    now: Tick,
    rng: SmallRng,
    work: BinaryHeap<Reverse<(Tick, u64)>>,
    scheduled: BTreeMap<u64, Work>,
    snapshot: Snapshot,
    service: ServiceKey,
    limits: Limits,
    callers: Vec<(Arc<Meters>, Picker)>,
    endpoints: Vec<Endpoint>,
    calls: BTreeMap<u64, Call>,
    wakes: Wakes,
    history: History,
    tally: Tally,
}

impl Sim {
    pub(crate) fn new(policy: Policy, seed: u64) -> Sim {
        let instances: Vec<_> = (0..ENDPOINTS).map(instance).collect();
        let items = catalogue::parse(CATALOGUE).unwrap();
        let first = Revision::new(1).unwrap();
        let catalogue = Catalogue::new(first, items).unwrap();
        let list = InstanceList::new(first, instances.clone()).unwrap();
        let snapshot = Snapshot::build(&catalogue, &list).unwrap();
        let name = ServiceName::new("workshop-desk").unwrap();
        let (service, bound) = snapshot.find_service(&name).unwrap();
        let limits = bound.entry.limits;
        let callers = DOMAINS.map(|domain| caller(domain, &snapshot));
        Sim {
            policy,
            now: Tick::ZERO,
            rng: SmallRng::seed_from_u64(seed),
            work: BinaryHeap::new(),
            scheduled: BTreeMap::new(),
            service,
            limits,
            callers: callers.into(),
            snapshot,
            endpoints: instances.into_iter().map(Endpoint::new).collect(),
            calls: BTreeMap::new(),
            wakes: Arc::default(),
            history: History::new(),
            tally: Tally {
                runs: vec![0; ENDPOINTS],
                ..Tally::default()
            },
        }
    }

    pub(crate) fn schedule_fault(&mut self, fault: Fault) {
        self.schedule_at(Tick::from_millis(fault.ms), Work::Fault(fault.kind));
    }

    /// Schedules the arrival of requests with exponentially distributed gaps.
    pub(crate) fn schedule_load(&mut self, load: &Load) {
        for class in Class::ALL {
            let mean_us = 1_000_000.0 / load.per_s[class.index()];
            let mut at = Tick::ZERO;
            loop {
                at = at + Duration::from_micros(exponential(&mut self.rng, mean_us));
                if at.since(Tick::ZERO) >= load.duration {
                    break;
                }
                self.tally.offered += 1;
                self.schedule_at(at, Work::Arrive(self.tally.offered, class));
            }
        }
    }

    /// Runs until no event is left.
    pub(crate) fn run(mut self) -> Tally {
        while let Some(Reverse((at, key))) = self.work.pop() {
            self.now = at;
            let work = self.scheduled.remove(&key).unwrap();
            self.handle(work);
            self.handle_wakes();
        }
        self.tally.violations = check(&self.history, &Bounds::default());
        self.tally
    }

    fn schedule_at(&mut self, at: Tick, work: Work) {
        let key = self
            .scheduled
            .last_key_value()
            .map_or(0, |(key, _)| key + 1);
        self.scheduled.insert(key, work);
        self.work.push(Reverse((at, key)));
    }

    fn schedule_after(&mut self, wait: Duration, work: Work) {
        self.schedule_at(self.now + wait, work);
    }

    fn record(&mut self, event: Event) {
        self.history.record(self.now, event);
    }

    fn handle(&mut self, work: Work) {
        match work {
            Work::Arrive(id, class) => self.arrive(id, class),
            Work::ReachEndpoint(id) => self.reach_endpoint(id),
            Work::ExpireQueued(id) => self.expire_queued(id),
            Work::FinishRun(id) => self.finish_run(id),
            Work::TimeOut(id) => self.time_out(id),
            Work::Fault(kind) => self.apply_fault(kind),
            Work::IntakeAnnounced(i, incarnation, intake) => {
                self.mark_intake(i, incarnation, intake)
            }
            Work::PollDrain(i) => self.poll_drain(i),
        }
    }
}
