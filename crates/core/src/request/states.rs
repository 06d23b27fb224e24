//! States of a request before it is handed over and after the target began its answer.

use crate::Permit;

/// The state of a request that arrived and is not admitted yet.
#[derive(Debug)]
pub struct Received(());

impl Received {
    pub(super) const fn new() -> Received {
        Received(())
    }
}

/// The state of a request that holds a slot and was not sent to the target.
#[derive(Debug)]
pub struct Admitted {
    pub(super) permit: Permit,
}

/// The state of a request whose answer has begun; it holds its slot until the answer ends.
#[derive(Debug)]
pub struct Answered {
    pub(super) permit: Permit,
}
