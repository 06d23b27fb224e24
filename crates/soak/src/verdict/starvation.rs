//! Checks that no kind of request is starved for the sake of the others.

use std::collections::BTreeMap;

use sassafrasspool_bench::chaos::catalogue::SERVICES;
use sassafrasspool_bench::load::CallRecord;
use sassafrasspool_bench::load::DOMAINS;
use sassafrasspool_bench::load::count_outcomes;
use serde::Serialize;

use crate::catalogue::COLD_DURATION;
use crate::schedule::Fault;

/// The length of the stretches that are judged, in microseconds.
const STRETCH_US: u64 = 2_000_000;

/// How long after a fault, such as in a cold start, instances may still refuse requests.
const RECOVERY_US: u64 = 1_000_000;

/// The fewest calls of a kind within a stretch from which it is judged.
const MIN_CALLS: u64 = 20;

/// How many times less often than all calls a kind may be answered.
const MAX_RATIO: u64 = 4;

/// When a fault was injected or a request crashed a target, in microseconds since the Unix epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FaultSpan {
    /// The fault.
    pub fault: Fault,
    /// When it began.
    pub from_us: u64,
    /// When it ended.
    pub to_us: u64,
}

impl FaultSpan {
    /// Whether an instance may refuse requests at `at_us` because of the fault.
    fn affects(&self, instance: usize, domain: &str, at_us: u64) -> bool {
        let mut to_us = self.to_us + RECOVERY_US;
        let is_affected = match self.fault {
            Fault::Node(n, _) | Fault::Target(n, _) | Fault::Link(n, ..) | Fault::State(n, _) => {
                n == instance
            }
            Fault::Herd => true,
            Fault::Evacuate(evacuated) => {
                to_us += COLD_DURATION.as_secs() * 1_000_000;
                DOMAINS[evacuated] == domain
            }
            Fault::Platform(_) | Fault::Publish(_) => false,
        };
        is_affected && (self.from_us..to_us).contains(&at_us)
    }
}

/// The verdict on kinds of requests that are answered less often than the others.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct StarvationVerdict {
    /// How often a kind was judged in a stretch, by the calls that were sent while at most half
    /// of the instances of each service were affected by a fault and no process waited.
    pub kinds_judged: u64,
    /// How often a kind was starved in a stretch.
    pub kinds_starved: u64,
}

impl StarvationVerdict {
    /// Judges the calls that were sent in a calm time, with the failure domains of the instances.
    /// No time is calm in which a process waits for a processor: its calls time out by kind, those
    /// with a request body or a key first.
    pub fn judge(
        records: &[CallRecord],
        faults: &[FaultSpan],
        waits_us: &[(u64, u64)],
        domains: &[&str],
    ) -> StarvationVerdict {
        let mut stretches: BTreeMap<u64, Vec<CallRecord>> = BTreeMap::new();
        let waits = |at_us| {
            waits_us
                .iter()
                .any(|(from, to)| (*from..*to).contains(&at_us))
        };
        let is_calm = |at_us| !waits(at_us) && is_calm(faults, domains, at_us);
        for record in records.iter().filter(|it| is_calm(it.sent_us)) {
            let stretch = stretches.entry(record.sent_us / STRETCH_US).or_default();
            stretch.push(record.clone());
        }
        let mut verdict = StarvationVerdict::default();
        for records in stretches.values() {
            let kinds = count_outcomes(records, &[], &[]).served_weighted_by_kind;
            let calls: u64 = kinds.values().map(|kind| kind.calls).sum();
            let answered: u64 = kinds.values().map(|kind| kind.answered).sum();
            for kind in kinds.values().filter(|kind| kind.calls >= MIN_CALLS) {
                let is_starved = kind.answered * calls * MAX_RATIO < answered * kind.calls;
                verdict.kinds_judged += 1;
                verdict.kinds_starved += u64::from(is_starved);
            }
        }
        verdict
    }

    /// Whether no kind was starved.
    pub fn has_passed(&self) -> bool {
        self.kinds_starved == 0
    }
}

/// Whether at most half of the instances of each service are affected by a fault or a crash.
fn is_calm(faults: &[FaultSpan], domains: &[&str], at_us: u64) -> bool {
    let is_affected = |n: &usize| faults.iter().any(|it| it.affects(*n, domains[*n], at_us));
    (0..SERVICES.len()).all(|service| {
        let instances = (service..domains.len()).step_by(SERVICES.len());
        2 * instances.clone().filter(is_affected).count() <= instances.count()
    })
}
