//! What a node drives, whichever way versions are spread.

use std::fmt;

use crate::Action;
use crate::Event;
use crate::InstanceId;
use crate::PeerMessage;
use crate::PeerReply;
use crate::SpreadStatus;
use crate::Tick;

/// A way of getting versions to every node, as one node's part in it.
pub trait Disseminate: fmt::Debug + Send {
    /// Takes in an event and appends what is to be done to `out`.
    fn handle(&mut self, now: Tick, event: Event, out: &mut Vec<Action>);

    /// Answers a peer's message; what is to be done besides goes to `out`.
    fn answer(
        &mut self,
        now: Tick,
        from: &InstanceId,
        message: PeerMessage,
        out: &mut Vec<Action>,
    ) -> PeerReply;

    /// When [`Event::Wakeup`] is due next.
    fn next_wakeup(&self) -> Tick;

    /// What there is to tell operators.
    fn status(&self, now: Tick) -> SpreadStatus;
}
