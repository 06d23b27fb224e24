//! One node's part in spreading versions.

use crate::Action;
use crate::Disseminate;
use crate::Event;
use crate::InstanceId;
use crate::LocalNode;
use crate::Naive;
use crate::PeerMessage;
use crate::PeerReply;
use crate::SpreadConfig;
use crate::SpreadStatus;
use crate::Tick;

/// One node's part in spreading versions and endpoint states.
#[derive(Debug)]
pub struct Spread {
    inner: Naive,
}

impl Spread {
    /// A node that starts at `now`; `seed` decides its random choices.
    pub fn new(cfg: SpreadConfig, local: LocalNode, seed: u64, now: Tick) -> Spread {
        Spread {
            inner: Naive::new(cfg, local, seed, now),
        }
    }

    /// Takes in an event and appends what is to be done to `out`.
    pub fn handle(&mut self, now: Tick, event: Event, out: &mut Vec<Action>) {
        self.inner.handle(now, event, out);
    }

    /// Answers a peer's message; what is to be done besides goes to `out`.
    pub fn answer(
        &mut self,
        now: Tick,
        from: &InstanceId,
        message: PeerMessage,
        out: &mut Vec<Action>,
    ) -> PeerReply {
        self.inner.answer(now, from, message, out)
    }

    /// When [`Event::Wakeup`] is due next.
    pub fn next_wakeup(&self) -> Tick {
        self.inner.next_wakeup()
    }

    /// What there is to tell operators.
    pub fn status(&self, now: Tick) -> SpreadStatus {
        self.inner.status(now)
    }
}

impl Disseminate for Spread {
    fn handle(&mut self, now: Tick, event: Event, out: &mut Vec<Action>) {
        Spread::handle(self, now, event, out);
    }

    fn answer(
        &mut self,
        now: Tick,
        from: &InstanceId,
        message: PeerMessage,
        out: &mut Vec<Action>,
    ) -> PeerReply {
        Spread::answer(self, now, from, message, out)
    }

    fn next_wakeup(&self) -> Tick {
        Spread::next_wakeup(self)
    }

    fn status(&self, now: Tick) -> SpreadStatus {
        Spread::status(self, now)
    }
}
