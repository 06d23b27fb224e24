//! What is asked of admission, and its answer.

use std::time::Duration;

use crate::Class;
use crate::Deadline;
use crate::KindName;
use crate::Limits;
use crate::Permit;
use crate::Queued;
use crate::Refusal;
use crate::Tick;

/// A request as admission sees it.
#[derive(Debug, Clone, Copy)]
pub struct Ask<'a> {
    /// How urgent it is.
    pub class: Class,
    /// Until when it may run.
    pub deadline: Deadline,
    /// The limits of its entry, from the snapshot that the request pins.
    pub limits: &'a Limits,
    /// What kind of request it is, where service times are told apart.
    pub kind: Option<&'a KindName>,
    /// Until when its answer is worth most to its caller.
    pub aim: Option<Tick>,
    /// Whether it takes a place in the queue although its answer would be late,
    /// since nobody else is asked after this.
    pub settles: bool,
    /// The target's slots by the instance list, where that tells them.
    pub slots: Option<u32>,
    /// What the target bears while it is cold, if it is.
    pub cold: Option<ColdLimit>,
}

/// What may begin at a cold target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdLimit {
    /// Requests a second, in the long run.
    pub per_s: u32,
    /// For how long that rate may be saved up.
    pub burst: Duration,
    /// Until when.
    pub until: Tick,
}

/// The answer of admission.
#[derive(Debug)]
pub enum Offer {
    /// It runs now.
    Admitted(Permit),
    /// It waits; its waker is called once, unless it is dropped first.
    Queued(Queued),
    /// It was not run, and this is final.
    Refused(Refusal),
}
