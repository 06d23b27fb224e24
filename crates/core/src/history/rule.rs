//! The rules that check a history, one for each guarantee.

use self::all_or_nothing::AllOrNothing;
use self::at_most_once::AtMostOnce;
use self::graceful_stop::GracefulStop;
use self::in_force_soon::InForceSoon;
use self::no_dangling::NoDangling;
use self::no_step_back::NoStepBack;
use self::no_work_while_leaving::NoWorkWhileLeaving;
use self::true_refusal::TrueRefusal;
use self::whole_answer::WholeAnswer;
use super::Bounds;
use super::Breach;
use super::Event;
use super::Violation;
use crate::Tick;

mod all_or_nothing;
mod at_most_once;
mod graceful_stop;
mod in_force_soon;
mod no_dangling;
mod no_step_back;
mod no_work_while_leaving;
mod true_refusal;
mod whole_answer;

/// Checks one guarantee, event by event ordered by time.
pub(super) trait Rule {
    /// Processes one event and adds the violations that it shows.
    fn observe(&mut self, at: Tick, event: &Event, found: &mut Vec<Violation>);

    /// Adds the violations that only show at the end of the run.
    fn finish(&mut self, _at: Tick, _found: &mut Vec<Violation>) {}
}

/// One rule for each guarantee.
pub(super) fn all(bounds: &Bounds) -> [Box<dyn Rule>; 9] {
    [
        Box::new(NoStepBack::default()),
        Box::new(NoDangling),
        Box::new(AllOrNothing::default()),
        Box::new(WholeAnswer::default()),
        Box::new(TrueRefusal::default()),
        Box::new(AtMostOnce::default()),
        Box::new(NoWorkWhileLeaving::new(bounds.leaving)),
        Box::new(GracefulStop::default()),
        Box::new(InForceSoon::new(bounds.in_force)),
    ]
}

/// Adds a violation to `found`.
fn add(found: &mut Vec<Violation>, at: Tick, breach: Breach) {
    found.push(Violation { at, breach });
}
