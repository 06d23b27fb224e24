//! The interface between a node and a dissemination strategy.

use std::fmt;

use crate::Action;
use crate::Event;
use crate::InstanceId;
use crate::PeerMessage;
use crate::PeerReply;
use crate::SpreadStatus;
use crate::Tick;

/// One node's part of a dissemination strategy.
pub trait Disseminate: fmt::Debug + Send {
    /// Handles an event and appends the resulting actions to `out`.
    fn handle(&mut self, now: Tick, event: Event, out: &mut Vec<Action>);

    /// Answers a peer's message and appends further actions to `out`.
    fn answer(
        &mut self,
        now: Tick,
        from: &InstanceId,
        message: PeerMessage,
        out: &mut Vec<Action>,
    ) -> PeerReply;

    /// When [`Event::Wakeup`] is due next.
    fn next_wakeup(&self) -> Tick;

    /// The status for operators.
    fn status(&self, now: Tick) -> SpreadStatus;
}
