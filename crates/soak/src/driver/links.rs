//! Injects faults into links.

use std::time::Duration;

use sassafrasspool_bench::chaos::log::unix_now_us;
use sassafrasspool_bench::load::OutageKind;

use super::Driver;
use crate::schedule::LinkFault;
use crate::schedule::LinkRole;

/// The delay of bytes on a slow link: longer than any wait inside of a failure domain,
/// shorter than the caller timeout.
const DELAY: Duration = Duration::from_millis(40);

impl Driver {
    /// Applies a fault to a link of an instance and records the outage that callers may see.
    pub(super) async fn apply_link_fault(
        &self,
        n: usize,
        role: LinkRole,
        fault: LinkFault,
        length: Duration,
    ) {
        let link = self.member(n).link(role);
        let from_us = unix_now_us();
        self.begin_impairment(n);
        match fault {
            LinkFault::Delay => link.set_delay(DELAY),
            LinkFault::Reset => link.reset_connections(),
            LinkFault::Silence => link.blackhole_connections(),
            LinkFault::Cut => link.set_blocked(true, true),
            LinkFault::CutForth => link.set_blocked(true, false),
            LinkFault::CutBack => link.set_blocked(false, true),
        }
        tokio::time::sleep(length).await;
        match fault {
            LinkFault::Delay => link.set_delay(Duration::ZERO),
            LinkFault::Reset | LinkFault::Silence => {}
            LinkFault::Cut | LinkFault::CutForth | LinkFault::CutBack => {
                link.set_blocked(false, false)
            }
        }
        self.end_impairment(n);
        if role == LinkRole::Target {
            self.record_stall(n, from_us);
        }
        match role {
            // A caller may use a silent connection at any later time.
            LinkRole::Callers if fault == LinkFault::Silence => {
                self.record_outage_until(n, OutageKind::CallerConnectionsCut, from_us, u64::MAX);
            }
            // A caller whose own connection fails can't receive any answer.
            LinkRole::Callers => self.record_outage(n, OutageKind::CallerConnectionsCut, from_us),
            // An answer that has begun can't be completed by another instance.
            LinkRole::PeerTraffic | LinkRole::Target => {
                self.record_outage(n, OutageKind::AnswersCut, from_us);
            }
            LinkRole::PeerControl | LinkRole::Platform => {}
        }
    }
}
