//! Announcements that are pending, and the schedule of comparisons with peers.

use crate::Announce;
use crate::EndpointState;
use crate::Heads;
use crate::InstanceId;
use crate::ReportId;
use crate::Tick;
use crate::spread::calls::Address;

/// Maximum number of endpoint states that wait to be announced; the rest is left to
/// anti-entropy.
const MAX_PENDING_STATES: usize = 4_096;

/// Maximum number of crash reports in one announcement; the rest is left to
/// anti-entropy. When a failure domain with hundreds of targets is lost, no
/// crash has to be known at once.
pub(super) const MAX_ANNOUNCED_REPORTS: usize = 16;

/// Pending announcements of a node and its schedule of announcements and
/// comparisons.
#[derive(Debug)]
pub(super) struct Gossip {
    /// When the next comparison with a peer is due.
    pub(super) next_sync: Tick,
    /// When the heads are to be announced.
    pub(super) heads_due: Option<Tick>,
    /// When the endpoint states and reports are to be announced.
    pub(super) states_due: Option<Tick>,
    /// Nothing is announced before this, unless a peer has answered a
    /// comparison.
    pub(super) quiet_until: Option<Tick>,
    /// When a peer last answered a comparison that this node began.
    pub(super) last_sync_reply: Option<Tick>,
    /// Whether a peer has answered a comparison since the last pause of this
    /// process.
    pub(super) synced_since_pause: bool,
    /// The heads of the last announcement.
    pub(super) announced_heads: Heads,
    /// The peer that sent the pending changes; they aren't announced back to
    /// it.
    pub(super) news_sender: Option<InstanceId>,
    /// The last announcement, to be sent to the next successor if one doesn't
    /// answer.
    pub(super) last_announcement: Option<Announce>,
    /// Nodes that the list no longer names and that are sent the next
    /// announcement.
    pub(super) unlisted: Vec<Address>,
    /// Number of comparisons so far.
    pub(super) sync_count: u64,
    pending_states: Vec<EndpointState>,
    /// Reports that wait to be announced.
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

    /// Schedules an announcement of the heads at `due` or before.
    pub(super) fn schedule_heads(&mut self, due: Tick) {
        self.heads_due = Some(self.heads_due.map_or(due, |already| already.min(due)));
    }

    /// Queues a state, to be announced at `due` or before.
    pub(super) fn queue_state(&mut self, state: EndpointState, due: Tick) {
        if self.pending_states.len() == MAX_PENDING_STATES {
            return;
        }
        self.pending_states.push(state);
        self.states_due = Some(self.states_due.map_or(due, |already| already.min(due)));
    }

    /// Removes at most `n` states that wait to be announced.
    pub(super) fn take_states(&mut self, n: usize) -> Vec<EndpointState> {
        let n = n.min(self.pending_states.len());
        self.pending_states.drain(..n).collect()
    }

    /// Queues a report, to be announced at `due` or before.
    pub(super) fn queue_report(&mut self, id: ReportId, due: Tick) {
        if self.pending_reports.len() == MAX_ANNOUNCED_REPORTS {
            return;
        }
        self.pending_reports.push(id);
        self.states_due = Some(self.states_due.map_or(due, |already| already.min(due)));
    }

    /// Removes the reports that wait to be announced.
    pub(super) fn take_reports(&mut self) -> Vec<ReportId> {
        std::mem::take(&mut self.pending_reports)
    }

    /// Whether states wait to be announced.
    pub(super) fn has_pending_states(&self) -> bool {
        !self.pending_states.is_empty()
    }

    /// When the next announcement is due.
    pub(super) fn announce_due(&self) -> Option<Tick> {
        let due = [self.heads_due, self.states_due];
        let due = due.into_iter().flatten().min()?;
        Some(self.quiet_until.map_or(due, |until| until.max(due)))
    }

    /// Discards the pending states and announcements: after a pause they are
    /// old, and anti-entropy finds what peers lack.
    pub(super) fn discard_pending(&mut self) {
        self.pending_states.clear();
        self.heads_due = None;
        self.states_due = None;
    }
}
