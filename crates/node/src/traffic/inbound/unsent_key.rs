//! The right to run a request's key, before the request is handed over.

use sassafrasspool_core::Reason;
use sassafrasspool_core::Refusal;
use sassafrasspool_core::RunPermit;
use sassafrasspool_core::Step;
use sassafrasspool_core::Tick;

/// The right of a request that wasn't handed over, if it has a key.
///
/// # Invariants
///
/// While this holds a right, its request is not handed over: dropping it, as
/// when the request is refused or its caller goes away while it waits, leaves
/// the key unused.
#[derive(Debug)]
pub(in crate::traffic) struct UnsentKey(Option<RunPermit>);

impl UnsentKey {
    pub(in crate::traffic) fn new(running: Option<RunPermit>) -> UnsentKey {
        UnsentKey(running)
    }

    /// Gives the right out for the hand-over.
    ///
    /// # Errors
    ///
    /// Refuses if this node may not run the key any more.
    pub(in crate::traffic) fn hand_over(mut self, now: Tick) -> Result<Option<RunPermit>, Refusal> {
        // INVARIANT: Nothing is left to be given back by the drop.
        self.0
            .take()
            .map(|running| running.recheck(now))
            .transpose()
    }
}

impl Drop for UnsentKey {
    fn drop(&mut self) {
        if let Some(running) = self.0.take() {
            // The refusal itself, if there is one, is on its way already.
            let _ = running.release(Refusal::not_run(Step::Admission, Reason::CallerGone));
        }
    }
}
