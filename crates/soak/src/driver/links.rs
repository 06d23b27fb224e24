//! Injects faults into links.

use std::time::Duration;

use sassafrasspool_bench::chaos::log::now_us;
use sassafrasspool_bench::load::OutageKind;

use super::Driver;
use crate::schedule::LinkFault;
use crate::schedule::Way;

/// The delay of bytes on a slow link: longer than any wait inside of a failure domain,
/// shorter than the caller timeout.
const DELAY: Duration = Duration::from_millis(40);

impl Driver {
    /// Applies a fault to a link of an instance and records the outage that callers may see.
    pub(super) async fn of_link(&self, n: usize, way: Way, what: LinkFault, length: Duration) {
        let link = self.member(n).link(way);
        let from_us = now_us();
        self.lose(n);
        match what {
            LinkFault::Delay => link.delay(DELAY),
            LinkFault::Reset => link.reset(),
            LinkFault::Silence => link.silence(),
            LinkFault::Cut => link.hold(true, true),
            LinkFault::CutForth => link.hold(true, false),
            LinkFault::CutBack => link.hold(false, true),
        }
        tokio::time::sleep(length).await;
        match what {
            LinkFault::Delay => link.delay(Duration::ZERO),
            LinkFault::Reset | LinkFault::Silence => {}
            LinkFault::Cut | LinkFault::CutForth | LinkFault::CutBack => link.hold(false, false),
        }
        self.regain(n);
        if way == Way::Target {
            self.note_stall(n, from_us);
        }
        match way {
            // A caller may use a silent connection at any later time.
            Way::Callers if what == LinkFault::Silence => {
                self.note_until(n, OutageKind::CallersCut, from_us, u64::MAX);
            }
            // A caller whose own connection fails can't receive any answer.
            Way::Callers => self.note(n, OutageKind::CallersCut, from_us),
            // An answer that has begun can't be completed by another instance.
            Way::PeerTraffic | Way::Target => self.note(n, OutageKind::AnswersCut, from_us),
            Way::PeerControl | Way::Platform => {}
        }
    }
}
