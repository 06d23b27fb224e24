//! The states before and after the target has a request.

use crate::Permit;

/// The request arrived and nothing was decided.
#[derive(Debug)]
pub struct Received(());

impl Received {
    pub(super) const fn new() -> Received {
        Received(())
    }
}

/// The request holds a slot and has not been sent to the target.
#[derive(Debug)]
pub struct Admitted {
    pub(super) permit: Permit,
}

/// The target began its answer; the slot is held until the answer ends.
#[derive(Debug)]
pub struct Answered {
    pub(super) permit: Permit,
}
