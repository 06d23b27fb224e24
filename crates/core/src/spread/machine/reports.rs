//! Reports of crashes of targets and of answers to requests that ran in some of
//! them: those of this node, and those of others.

use std::sync::Arc;
use std::time::Duration;

use super::SpreadMachine;
use crate::Action;
use crate::Announce;
use crate::AuditEvent;
use crate::Observation;
use crate::Origin;
use crate::PeerMessage;
use crate::Report;
use crate::ReportId;
use crate::SyncReply;
use crate::Tick;
use crate::spread::calls::Address;
use crate::spread::calls::Purpose;
use crate::spread::gossip::MAX_ANNOUNCED_REPORTS;

/// Delay until a node that received new reports compares with a peer.
/// Announcements miss some nodes, and the next copy of a request may arrive at
/// one of these.
const SYNC_AFTER_REPORT_DELAY: Duration = Duration::from_millis(500);

/// Rate of reports that a node forwards at once. When a failure domain with
/// hundreds of targets is lost, no crash has to be known at once, and
/// forwarding all of them would exceed a node's share of control traffic.
const FORWARDED_REPORTS_PER_S: u32 = 4;

/// Burst of that rate limit, as the time over which unused rate accumulates.
const FORWARDED_REPORTS_BURST: Duration = Duration::from_secs(8);

impl SpreadMachine {
    /// Handles an observed crash or answer of the local target, or an
    /// operator's release of a request at this node.
    pub(super) fn handle_observation(
        &mut self,
        now: Tick,
        observation: Observation,
        age: Duration,
        out: &mut Vec<Action>,
    ) {
        match &observation {
            Observation::Crashed(ran) => {
                out.push(Action::Audit(AuditEvent::TargetCrashed {
                    ran: ran.clone(),
                }));
                self.add_own_report(now, observation, age, out);
            }
            Observation::Released(content) => {
                out.push(Action::Audit(AuditEvent::ReleaseOrdered {
                    content: *content,
                }));
                self.add_own_report(now, observation, age, out);
            }
            Observation::Answered(content) => {
                let since_start = now.since(Tick::ZERO).saturating_sub(age);
                let answered = Tick::ZERO + since_start;
                let nodes = self.peers.len() + 1;
                self.pending_answers
                    .schedule(now, *content, answered, nodes, &mut self.rng);
            }
        }
    }

    /// Reports the due answers that no other node has reported meanwhile.
    pub(super) fn report_due_answers(&mut self, now: Tick, out: &mut Vec<Action>) {
        for (content, answered) in self.pending_answers.take_due(now, self.reports.state()) {
            let observation = Observation::Answered(content);
            self.add_own_report(now, observation, now.since(answered), out);
        }
    }

    fn add_own_report(
        &mut self,
        now: Tick,
        observation: Observation,
        age: Duration,
        out: &mut Vec<Action>,
    ) {
        self.report_count += 1;
        let report = Report {
            id: ReportId {
                reporter: self.local.id.clone(),
                incarnation: self.local.incarnation.get(),
                number: self.report_count,
            },
            age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
            observation,
        };
        let origin = Origin::Peer(self.local.id.clone());
        self.merge_reports(now, &[report], &origin, out);
    }

    /// Merges reports of other nodes.
    ///
    /// A few reports are new and are forwarded at once, because the next copy
    /// of a request may be in flight. Many at once come from a comparison and
    /// are known to most nodes.
    pub(super) fn merge_reports(
        &mut self,
        now: Tick,
        reports: &[Report],
        origin: &Origin,
        out: &mut Vec<Action>,
    ) {
        let mut new_ids = Vec::new();
        for report in reports {
            if self.reports.merge(now, report) {
                new_ids.push(report.id.clone());
            }
        }
        if new_ids.is_empty() {
            return;
        }
        if new_ids.len() <= MAX_ANNOUNCED_REPORTS {
            self.forward_reports(now, new_ids);
        }
        self.apply_quarantine(origin, out);
    }

    /// Forwards new reports: all of this node's own, and those of others within
    /// the rate limit. Anti-entropy finds the rest.
    fn forward_reports(&mut self, now: Tick, new_ids: Vec<ReportId>) {
        for id in new_ids {
            let wait =
                self.report_budget
                    .refill(now, FORWARDED_REPORTS_PER_S, FORWARDED_REPORTS_BURST);
            if wait.is_some() && id.reporter != self.local.id {
                continue;
            }
            self.report_budget.take();
            self.gossip.queue_report(id, now);
            let soon = now + self.jittered(SYNC_AFTER_REPORT_DELAY);
            self.gossip.next_sync = self.gossip.next_sync.min(soon);
        }
    }

    /// Merges the reports of a peer, and sends it the reports that it lacks.
    ///
    /// Each side of a partition may have reports that the other lacks; the
    /// first comparison after it brings both up to date.
    pub(super) fn reconcile_reports(
        &mut self,
        now: Tick,
        peer: &Address,
        reply: &SyncReply,
        out: &mut Vec<Action>,
    ) {
        if reply.reports_root == self.reports.root() {
            return;
        }
        let origin = Origin::Peer(reply.from.clone());
        self.merge_reports(now, &reply.reports, &origin, out);
        if reply.reports_root == self.reports.root() {
            return;
        }
        let message = PeerMessage::Announce(Announce {
            control: self.local.control,
            heads: self.store.heads(),
            contact: self.contact.current(now),
            body: None,
            states: Vec::new(),
            reports: self.reports.reports_to_send(now),
        });
        self.calls.send(now, peer, Purpose::Announce, message, out);
    }

    /// Expires old reports.
    pub(super) fn expire_reports(&mut self, now: Tick, out: &mut Vec<Action>) {
        self.reports.remove_expired(now);
        let origin = Origin::Peer(self.local.id.clone());
        self.apply_quarantine(&origin, out);
    }

    /// Puts the quarantine state that follows from the reports in force, if it has
    /// changed.
    fn apply_quarantine(&mut self, origin: &Origin, out: &mut Vec<Action>) {
        let Some((before, quarantine)) = self.reports.evaluate() else {
            return;
        };
        for content in quarantine.quarantined().filter(|it| !before.contains(*it)) {
            out.push(Action::Audit(AuditEvent::Quarantined {
                content,
                origin: origin.clone(),
            }));
        }
        for content in before.quarantined().filter(|it| !quarantine.contains(*it)) {
            out.push(Action::Audit(AuditEvent::Released { content }));
        }
        out.push(Action::Quarantine(Arc::new(quarantine.clone())));
    }
}
