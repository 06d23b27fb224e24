//! Requests for the delivery of a large answer.

use std::time::Duration;

use crate::Deadline;
use crate::KindName;
use crate::Tick;

/// A request whose large answer is to be delivered over the link.
#[derive(Debug, Clone, Copy)]
pub struct LinkRequest<'a> {
    /// The kind of the request, whose answers are expected to be alike in size.
    pub kind: &'a KindName,
    /// The moment at which the caller stops waiting.
    pub deadline: Deadline,
    /// The soft deadline: the moment until which the answer is worth most to the caller.
    pub soft_deadline: Option<Tick>,
    /// Whether no other endpoint is asked after this one. A late answer is then better than
    /// none.
    pub last_resort: bool,
    /// How long it takes until the target is expected to answer.
    pub answers_in: Duration,
}
