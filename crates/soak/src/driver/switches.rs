//! Translates faults to the switches of the stand-ins.

use std::time::Duration;

use sassafrasspool_standin::platform::PlatformSwitches;
use sassafrasspool_standin::target::HealthReport;
use sassafrasspool_standin::target::LateAnswers;
use sassafrasspool_standin::target::TargetSwitches;

use crate::schedule::PlatformFault;
use crate::schedule::TargetFault;
use crate::verdict::STATED_LIMIT_PER_S;
use crate::verdict::Statement;

/// The time by which a slow target delays each request, in milliseconds.
const SLOWDOWN_MS: u64 = 200;

/// The time by which the platform delays answers, so that newer ones overtake them, in
/// milliseconds.
const ANSWER_DELAY_MS: u64 = 300;

/// The switches that begin or end a fault of the platform. A freeze has no switch.
pub(super) fn platform_switches(
    fault: PlatformFault,
    length: Duration,
    on: bool,
) -> PlatformSwitches {
    let mut switches = PlatformSwitches::default();
    let length_ms = u64::try_from(length.as_millis()).unwrap_or(u64::MAX);
    match fault {
        PlatformFault::Outage | PlatformFault::Restore => switches.outage = Some(on),
        PlatformFault::Stale => switches.stale = Some(on),
        PlatformFault::ListLag => switches.list_lag_ms = Some(u64::from(on) * length_ms),
        PlatformFault::SlowAnswers => {
            switches.answer_delay_ms = Some(u64::from(on) * ANSWER_DELAY_MS);
        }
        PlatformFault::Silence => switches.silent = Some(on),
        PlatformFault::Freeze => {}
    }
    switches
}

/// The switches that begin or end a fault of a target.
pub(super) fn target_switches(fault: TargetFault, on: bool) -> TargetSwitches {
    let mut switches = TargetSwitches::default();
    match fault {
        TargetFault::Drain => switches.drain = Some(on),
        TargetFault::Slow => switches.slow_ms = Some(u64::from(on) * SLOWDOWN_MS),
        TargetFault::Hang => switches.hang_after_run = Some(on),
        TargetFault::CutAnswers => switches.cut_body = Some(on),
        TargetFault::MalformedAnswers => switches.malformed = Some(on),
        TargetFault::Late => {
            switches.late = Some(LateAnswers {
                every: u64::from(on) * 3,
                by_ms: 2 * SLOWDOWN_MS,
            });
        }
        _ => {
            switches.health = Some(match on {
                true => HealthReport::Ill,
                false => HealthReport::Truth,
            });
        }
    }
    switches
}

/// The switches that begin or end a statement of a target.
pub(super) fn statement_switches(statement: Statement, on: bool) -> TargetSwitches {
    let mut switches = TargetSwitches::default();
    match statement {
        Statement::RateLimit => {
            switches.rate_limit_per_s = Some(if on { STATED_LIMIT_PER_S } else { 0.0 });
        }
        Statement::Leaving => switches.leaving = Some(on),
    }
    switches
}
