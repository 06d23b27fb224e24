use std::time::Duration;

use super::Budget;
use super::Hop;
use super::Next;
use super::Tries;
use crate::Deadline;
use crate::Failure;
use crate::Loss;
use crate::LossCause;
use crate::Outcome;
use crate::Reason;
use crate::Refusal;
use crate::RetryLimits;
use crate::Step;
use crate::Tick;

// A fitter looks up a policy. The first target crashes with the lookup on it,
// and the second endpoint refuses it as its queue is full. The refusal is true
// of the second try alone: the caller must hear that nobody knows.
#[test]
fn a_refusal_after_a_loss_is_told_as_a_loss() {
    let budget = Budget::default();
    let deadline = Deadline::within(Tick::ZERO, Duration::from_secs(1));
    let limits = RetryLimits {
        attempts: 2,
        budget_percent: 100,
    };
    let mut tries = Tries::first(Hop::First, true, &limits, deadline, &budget);
    let lost = Loss::new(Step::Forward, LossCause::ConnectionLost);
    let next = tries.after(Tick::ZERO, lost.into(), &budget);
    assert_eq!(next, Next::Again);
    let refused = Refusal::not_run(Step::Admission, Reason::QueueFull);
    let Next::Stop(told) = tries.after(Tick::ZERO, refused.into(), &budget) else {
        panic!("there were two tries");
    };
    assert_eq!(told, Failure::Lost(lost));
    assert_eq!(tries.told(refused.into()).outcome(), Outcome::Unknown);
}
