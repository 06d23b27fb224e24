//! Report of a run.

use std::collections::BTreeMap;
use std::time::Duration;

use sassafrasspool_core::Class;
use serde::Serialize;

use crate::load::CallRecord;
use crate::load::Ending;
use crate::load::OpenLoop;
use crate::summary::Samples;
use crate::summary::SummaryMs;

/// The report of a run.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    /// Name of the verb.
    pub verb: &'static str,
    /// Number of instances.
    pub nodes: usize,
    /// Offered load as a multiple of the capacity of the slots.
    pub factor: f64,
    /// Duration of the load in each of the two runs, in seconds.
    pub seconds: f64,
    /// Results of the run through the nodes.
    pub with: Goodput,
    /// Results of the run through the naive proxy.
    pub without: Goodput,
    /// Load average of the machine at the start.
    pub load_average: String,
}

/// Results of one of the two runs.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Goodput {
    /// Capacity of the slots in calls per second, computed from the measured
    /// run time.
    pub capacity_per_s: f64,
    /// Calls per second that were answered in time.
    pub goodput_per_s: f64,
    /// Goodput as a fraction of the capacity.
    pub goodput_of_capacity: f64,
    /// Runs that targets started per call answered in time.
    pub runs_per_answer: f64,
    /// Results by class.
    pub by_class: BTreeMap<&'static str, ClassGoodput>,
    /// Delay between the planned and the actual start of calls.
    pub release_late_ms: SummaryMs,
}

/// Results of one class.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ClassGoodput {
    /// Calls per second that were made.
    pub offered_per_s: f64,
    /// Calls per second that were answered in time.
    pub goodput_per_s: f64,
    /// Fraction of the calls that were answered in time.
    pub answered: f64,
    /// Attempts that were refused without being run.
    pub refused_not_run: u64,
    /// Attempts with any other outcome.
    pub other: u64,
    /// Latency of answered calls.
    pub latency_ms: SummaryMs,
    /// Latency of refusals.
    pub refusal_ms: SummaryMs,
}

impl Goodput {
    /// Evaluates `load`, which was offered for `length` to `slots` slots. The
    /// targets started `runs` runs, each of which takes `run_time` on average.
    pub(super) fn new(
        load: &OpenLoop,
        length: Duration,
        slots: u32,
        run_time: Duration,
        runs: usize,
    ) -> Goodput {
        let by_class = Class::ALL.into_iter().map(|class| {
            let of_class = load.records.iter().filter(|record| record.class == class);
            (class.as_str(), ClassGoodput::new(of_class, length))
        });
        let by_class: BTreeMap<_, _> = by_class.collect();
        let goodput_per_s: f64 = by_class.values().map(|class| class.goodput_per_s).sum();
        let capacity_per_s = f64::from(slots) / run_time.as_secs_f64().max(f64::MIN_POSITIVE);
        let answers = goodput_per_s * length.as_secs_f64();
        Goodput {
            capacity_per_s,
            goodput_per_s,
            goodput_of_capacity: goodput_per_s / capacity_per_s,
            runs_per_answer: runs as f64 / answers.max(1.0),
            by_class,
            release_late_ms: load.lateness.summary(),
        }
    }
}

impl ClassGoodput {
    fn new<'a>(records: impl Iterator<Item = &'a CallRecord>, length: Duration) -> ClassGoodput {
        let mut made = 0_u64;
        let mut refused_not_run = 0;
        let mut other = 0;
        let mut latency = Samples::new();
        let mut refusal = Samples::new();
        for record in records {
            made += 1;
            match record.ending {
                Ending::Answered => latency.add(record.latency),
                Ending::NotRun => {
                    refused_not_run += 1;
                    refusal.add(record.latency);
                }
                _ => other += 1,
            }
        }
        let answered = latency.len();
        let seconds = length.as_secs_f64();
        ClassGoodput {
            offered_per_s: made as f64 / seconds,
            goodput_per_s: answered as f64 / seconds,
            answered: answered as f64 / made.max(1) as f64,
            refused_not_run,
            other,
            latency_ms: latency.summary(),
            refusal_ms: refusal.summary(),
        }
    }
}
