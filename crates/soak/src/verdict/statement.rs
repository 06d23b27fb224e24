//! Checks that targets got no more requests than they stated to accept, and none after they
//! had stated that they leave.

use std::collections::HashMap;

use sassafrasspool_bench::load::CallRecord;
use sassafrasspool_bench::load::Ending;
use sassafrasspool_bench::load::LedgerRun;
use serde::Serialize;

use super::count;
use super::timeline::MAX_HANDOVER_US;
use super::timeline::Timeline;

/// The rate limit that limited targets state, in requests a second.
pub const STATED_LIMIT_PER_S: f64 = 5.0;

/// The span in which the requests to a limited target are bounded, in microseconds.
const LIMIT_WINDOW_US: u64 = 4_000_000;

/// The most requests within that span: one and a half times what the limit allows, and five.
const MAX_IN_LIMIT_WINDOW: usize = 35;

/// How long after a caller received the first answer with a limit all nodes have to apply
/// it, in microseconds.
const LIMIT_NOTICE_US: u64 = 500_000;

/// How long after a caller received the first answer of a leaving target it may still get
/// requests, in microseconds.
const DRAIN_BOUND_US: u64 = 2_000_000;

/// What a target states about itself in its answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Statement {
    /// It accepts [`STATED_LIMIT_PER_S`] from all nodes together.
    RateLimit,
    /// It leaves.
    Leaving,
}

/// The time in which a target stated something, in microseconds since the Unix epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StatedSpan {
    /// The number of the instance.
    pub instance: usize,
    /// What the target stated.
    pub statement: Statement,
    /// From when on all answers stated it.
    pub from_us: u64,
    /// Until when all answers stated it.
    pub to_us: u64,
}

/// The verdict on targets that stated something about themselves.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct StatementVerdict {
    /// How often a caller received the rate limit of a target.
    pub limits_stated: u64,
    /// Requests beyond what limited targets accept.
    pub over_stated_limit: u64,
    /// How often a caller received the statement of a target that it leaves.
    pub leaves_stated: u64,
    /// Requests that leaving targets started too late.
    pub begun_after_leaving: u64,
}

impl StatementVerdict {
    /// Judges the requests that targets started while they stated something.
    pub fn judge(
        spans: &[StatedSpan],
        records: &[CallRecord],
        runs: &[LedgerRun],
        timeline: &Timeline<'_>,
    ) -> StatementVerdict {
        let answered = records.iter().filter(|it| it.ending == Ending::Answered);
        let answered_us: HashMap<&str, u64> =
            answered.map(|it| (it.id.as_str(), it.ended_us)).collect();
        let mut verdict = StatementVerdict::default();
        for span in spans {
            let Some(told_us) = first_answer_us(span, runs, &answered_us) else {
                continue;
            };
            let mut starts_us: Vec<u64> = timeline.starts_us(span.instance).collect();
            starts_us.sort_unstable();
            match span.statement {
                Statement::RateLimit => {
                    verdict.limits_stated += 1;
                    verdict.over_stated_limit +=
                        count(over_limit(span, told_us, &starts_us, timeline));
                }
                Statement::Leaving => {
                    verdict.leaves_stated += 1;
                    verdict.begun_after_leaving +=
                        count(late_starts(span, told_us, &starts_us, timeline));
                }
            }
        }
        verdict
    }

    /// Whether all statements were respected.
    pub fn has_passed(&self) -> bool {
        self.over_stated_limit == 0 && self.begun_after_leaving == 0
    }
}

/// When a caller first had an answer to a request that started within the span.
fn first_answer_us(
    span: &StatedSpan,
    runs: &[LedgerRun],
    answered_us: &HashMap<&str, u64>,
) -> Option<u64> {
    let inside = runs.iter().filter(|run| {
        run.instance == span.instance && (span.from_us..span.to_us).contains(&run.run.started_us)
    });
    let ended = inside.filter_map(|run| answered_us.get(run.run.id.as_str()).copied());
    ended.min().filter(|told_us| *told_us < span.to_us)
}

/// Requests beyond the limit within the worst window. A window in which requests may have
/// been delayed on their way counts as zero.
fn over_limit(
    span: &StatedSpan,
    told_us: u64,
    starts_us: &[u64],
    timeline: &Timeline<'_>,
) -> usize {
    let judged = told_us + LIMIT_NOTICE_US..span.to_us;
    let inside: Vec<u64> = starts_us
        .iter()
        .copied()
        .filter(|at| judged.contains(at))
        .collect();
    let excess = inside.iter().enumerate().map(|(first, from_us)| {
        let to_us = from_us + LIMIT_WINDOW_US;
        let within = inside[first..].partition_point(|at| *at < to_us);
        match timeline.may_be_delayed(span.instance, *from_us, to_us) {
            true => 0,
            false => within.saturating_sub(MAX_IN_LIMIT_WINDOW),
        }
    });
    excess.max().unwrap_or(0)
}

/// Requests that started after the drain bound. The next process of the node doesn't know
/// that the target leaves, nor do nodes that haven't received an answer.
fn late_starts(
    span: &StatedSpan,
    told_us: u64,
    starts_us: &[u64],
    timeline: &Timeline<'_>,
) -> usize {
    let to_us = span
        .to_us
        .min(timeline.next_process_end_us(span.instance, span.from_us));
    let judged = told_us + DRAIN_BOUND_US + MAX_HANDOVER_US..to_us;
    let late = starts_us.iter().filter(|at| judged.contains(*at));
    late.filter(|at| !timeline.may_be_delayed(span.instance, **at, **at))
        .count()
}
