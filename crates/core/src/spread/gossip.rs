//! News that waits to be told, and when to compare with a peer next.

use crate::Announce;
use crate::EndpointState;
use crate::Heads;
use crate::InstanceId;
use crate::ReportId;
use crate::Tick;
use crate::spread::calls::Address;

/// Endpoint states that wait to be told; more are left to comparing.
const MAX_PENDING_STATES: usize = 4_096;

/// Reports of crashes in one announcement; more are left to comparing. Of a failure domain
/// that is lost with hundreds of targets, no crash has to be known at once.
pub(super) const MAX_ANNOUNCED_REPORTS: usize = 16;

/// What a node is about to tell.
#[derive(Debug)]
pub(super) struct Gossip {
    /// When the next comparison with a peer is due.
    pub(super) next_sync: Tick,
    /// When the heads are to be announced.
    pub(super) heads_due: Option<Tick>,
    /// When the endpoint states and reports are to be announced.
    pub(super) states_due: Option<Tick>,
    /// Nothing is announced before, unless a peer has told what it holds.
    pub(super) quiet_until: Option<Tick>,
    /// When a peer last told, on being asked, what it holds.
    pub(super) last_sync_reply: Option<Tick>,
    /// Whether a peer has told what it holds since this process was woken.
    pub(super) synced_since_pause: bool,
    /// What was announced last.
    pub(super) announced_heads: Heads,
    /// Who told the news; it needn't hear them again.
    pub(super) news_sender: Option<InstanceId>,
    /// What was told last, for a successor that takes the place of one that
    /// didn't answer.
    pub(super) last_announcement: Option<Announce>,
    /// Nodes that the list no longer names and that this node tells so.
    pub(super) unlisted: Vec<Address>,
    /// Counts comparisons.
    pub(super) sync_count: u64,
    pending_states: Vec<EndpointState>,
    /// Reports that wait to be told.
    pending_reports: Vec<ReportId>,
}

impl Gossip {
    pub(super) fn new(now: Tick) -> Gossip {
        Gossip {
            next_sync: now,
            heads_due: None,
            states_due: None,
            quiet_until: None,
            last_sync_reply: None,
            synced_since_pause: true,
            announced_heads: Heads::default(),
            news_sender: None,
            last_announcement: None,
            unlisted: Vec::new(),
            sync_count: 0,
            pending_states: Vec::new(),
            pending_reports: Vec::new(),
        }
    }

    /// Notes that heads changed; they are told at `due` or before.
    pub(super) fn schedule_heads(&mut self, due: Tick) {
        self.heads_due = Some(self.heads_due.map_or(due, |already| already.min(due)));
    }

    /// Notes a state that is news; it is told at `due` or before.
    pub(super) fn queue_state(&mut self, state: EndpointState, due: Tick) {
        if self.pending_states.len() == MAX_PENDING_STATES {
            return;
        }
        self.pending_states.push(state);
        self.states_due = Some(self.states_due.map_or(due, |already| already.min(due)));
    }

    /// Takes at most `n` states that wait to be told.
    pub(super) fn take_states(&mut self, n: usize) -> Vec<EndpointState> {
        let n = n.min(self.pending_states.len());
        self.pending_states.drain(..n).collect()
    }

    /// Notes a report that is news; it is told at `due` or before.
    pub(super) fn queue_report(&mut self, id: ReportId, due: Tick) {
        if self.pending_reports.len() == MAX_ANNOUNCED_REPORTS {
            return;
        }
        self.pending_reports.push(id);
        self.states_due = Some(self.states_due.map_or(due, |already| already.min(due)));
    }

    /// Takes the reports that wait to be told.
    pub(super) fn take_reports(&mut self) -> Vec<ReportId> {
        std::mem::take(&mut self.pending_reports)
    }

    /// Whether states still wait.
    pub(super) fn has_pending_states(&self) -> bool {
        !self.pending_states.is_empty()
    }

    /// When something is to be announced.
    pub(super) fn announce_due(&self) -> Option<Tick> {
        let due = [self.heads_due, self.states_due];
        let due = due.into_iter().flatten().min()?;
        Some(self.quiet_until.map_or(due, |until| until.max(due)))
    }

    /// Drops what waits: after a pause it is old, and comparing tells what
    /// peers lack.
    pub(super) fn discard_pending(&mut self) {
        self.pending_states.clear();
        self.heads_due = None;
        self.states_due = None;
    }
}
