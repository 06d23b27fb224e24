//! The right to run the request of a key, before the request is handed over.

use sassafrasspool_core::Reason;
use sassafrasspool_core::Refusal;
use sassafrasspool_core::RunPermit;
use sassafrasspool_core::Step;
use sassafrasspool_core::Tick;

/// The right to run a request that is not handed over yet; empty if the request has no
/// key.
///
/// # Invariants
///
/// While this holds a right, its request is not handed over. Dropping this marks the
/// key as unused, as when the request is refused or its caller disconnects while the
/// request is queued.
#[derive(Debug)]
pub(in crate::traffic) struct UnsentKey(Option<RunPermit>);

impl UnsentKey {
    pub(in crate::traffic) fn new(run_permit: Option<RunPermit>) -> UnsentKey {
        UnsentKey(run_permit)
    }

    /// Whether the request has a key.
    pub(in crate::traffic) fn has_permit(&self) -> bool {
        self.0.is_some()
    }

    /// Returns the right for the hand-over.
    ///
    /// # Errors
    ///
    /// Refuses the request if this node may not run its key any more.
    pub(in crate::traffic) fn into_run_permit(
        mut self,
        now: Tick,
    ) -> Result<Option<RunPermit>, Refusal> {
        // INVARIANT: The drop finds no right that it would release.
        self.0
            .take()
            .map(|run_permit| run_permit.recheck(now))
            .transpose()
    }
}

impl Drop for UnsentKey {
    fn drop(&mut self) {
        if let Some(run_permit) = self.0.take() {
            // If the request was refused, that refusal is returned already.
            let _ = run_permit.release(Refusal::not_run(Step::Admission, Reason::CallerGone));
        }
    }
}
