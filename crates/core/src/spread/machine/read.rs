//! Reads of the platform.

use std::time::Duration;

use super::SpreadMachine;
use crate::Action;
use crate::AuditEvent;
use crate::Catalogue;
use crate::Digest;
use crate::InstanceList;
use crate::Origin;
use crate::Revision;
use crate::SourceResult;
use crate::Stream;
use crate::Tick;
use crate::Version;
use crate::reader::Placement;
use crate::reader::ReaderProof;
use crate::reader::RelayTree;
use crate::spread::join_state::JoinState;
use crate::spread::list_regression::MIN_OUTAGE;
use crate::spread::list_regression::RENEWAL_GRACE;
use crate::spread::source_reads::CheckPolicy;
use crate::spread::source_reads::EMPTY_ANSWER_DELAY;
use crate::spread::version_store::OfferOutcome;

/// Maximum age of the last comparison that replaces the reads of an unlisted or
/// unranked node. Beyond this age, the node reads the platform: a leaving
/// target is sent requests for 2 s more, so that its announcement has to arrive
/// within that time.
const MAX_SYNC_REPLY_AGE: Duration = Duration::from_secs(1);

/// Proof intervals without a proof of another reader after which a reader proves all turns.
const MAX_MISSED_TURNS: f64 = 2.5;

/// Part of the proof interval that a watch lasts at least.
const MIN_TURN_PART: f64 = 0.3;

/// Why a node reads the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReadReason {
    /// It is a reader of its failure domain.
    Reader,
    /// No peer brings it changes.
    WithoutPeers,
    /// Its versions are stale.
    CatchUp,
    /// It joins.
    Join,
}

impl SpreadMachine {
    /// Decides whether this node reads, and starts the reads that are due.
    pub(super) fn start_due_reads(&mut self, now: Tick, out: &mut Vec<Action>) {
        let age = self.contact_age(now);
        if self.role.try_take_over(age) {
            self.audit_reading(out);
        }
        for stream in Stream::ALL {
            self.fail_overdue_read(now, stream);
        }
        while let Some(stream) = self.next_due_stream(now) {
            if self.budget.reserve(now) > now {
                return;
            }
            self.budget.consume(now);
            let reason = self.read_reason(now, stream);
            self.audit_catch_up(now, reason, out);
            let check = self.check_policy();
            let hold = self.hold(now, stream, reason);
            let reads = &mut self.reads[stream as usize];
            reads.start_read(now, &self.store, check, hold, &mut self.rng, out);
        }
        self.budget.cancel_reservation();
    }

    /// When this node checks that the platform answers.
    fn check_policy(&self) -> CheckPolicy {
        match self.role.rank() {
            Some(0) => CheckPolicy::AfterEach,
            _ => CheckPolicy::AfterFailure,
        }
    }

    /// The stream to read now: the one with fewer reads, so that neither
    /// starves where reads are scarce, and the list first.
    fn next_due_stream(&self, now: Tick) -> Option<Stream> {
        let streams = [Stream::Instances, Stream::Catalogue];
        let due = |stream: &Stream| {
            let due = self.reads[*stream as usize].due();
            self.needs_read(now, *stream) && due.is_some_and(|due| due <= now)
        };
        let due = streams.into_iter().filter(due);
        due.min_by_key(|stream| self.reads[*stream as usize].read_count())
    }

    /// When the read of a stream is due.
    pub(super) fn read_due(&self, now: Tick, stream: Stream) -> Option<Tick> {
        if !self.needs_read(now, stream) {
            return None;
        }
        let due = self.reads[stream as usize].due()?;
        match self.budget.reserved_at() {
            Some(moment) if due <= now => Some(moment),
            _ => Some(due),
        }
    }

    /// How long the platform may hold a watch of a stream.
    ///
    /// The readers of a fleet prove in turn that nothing newer was published: one of their
    /// watches ends in each proof interval. The turns count from the last proof of the first
    /// reader that is alive. If no other reader has proved anything for several turns, this
    /// one proves it in each interval.
    fn hold(&mut self, now: Tick, stream: Stream, reason: Option<ReadReason>) -> Duration {
        match reason {
            Some(ReadReason::CatchUp) => return Duration::ZERO,
            Some(ReadReason::Reader) if !self.role.every_node_reads() => {}
            _ => return self.cfg.watch,
        }
        let interval = self.bounds.proof_interval().min(self.cfg.watch);
        let domains = self.role.placement().map_or(1, |it| it.domain_count);
        let readers = domains.saturating_mul(self.role.readers_in_domain());
        let round = interval.saturating_mul(readers).min(self.cfg.watch);
        let others = self.staleness.reader_proofs(now, stream, round * 2);
        let newest = others.iter().map(|proof| proof.age).min();
        let is_proved = newest.is_some_and(|age| age <= interval.mul_f64(MAX_MISSED_TURNS));
        let Some(index) = self.relay_tree.reader_index().filter(|_| is_proved) else {
            return interval;
        };
        match others.first().filter(|first| first.reader < index) {
            Some(first) => turn_after(first, index, interval, round),
            None => round,
        }
    }

    fn audit_catch_up(&mut self, now: Tick, reason: Option<ReadReason>, out: &mut Vec<Action>) {
        if reason == Some(ReadReason::CatchUp) && self.catch_up.begin_reading() {
            out.push(Action::Audit(AuditEvent::CatchUpRead {
                staleness: self.staleness(now).unwrap_or_default(),
                peers_answer: self.catch_up.do_peers_answer(now),
            }));
        }
    }

    fn needs_read(&self, now: Tick, stream: Stream) -> bool {
        self.read_reason(now, stream).is_some()
    }

    /// Why this node reads a stream; `None` if it doesn't.
    fn read_reason(&self, now: Tick, stream: Stream) -> Option<ReadReason> {
        if self.role.is_reader() {
            return Some(ReadReason::Reader);
        }
        if self.has_no_peers() || (self.is_unlisted_or_unranked() && !self.sync_replaces_read(now))
        {
            return Some(ReadReason::WithoutPeers);
        }
        if self.needs_catch_up_read(now, stream) {
            return Some(ReadReason::CatchUp);
        }
        self.needs_join_read(now, stream)
            .then_some(ReadReason::Join)
    }

    fn needs_join_read(&self, now: Tick, stream: Stream) -> bool {
        if matches!(self.join_state, JoinState::Joined(_))
            || self.reads[stream as usize].has_answered()
        {
            return false;
        }
        match stream {
            // The list comes first: it names the peers that have the catalogue,
            // and the number of nodes that share the read budget.
            Stream::Catalogue => self.store.instances().is_some() && !self.has_recent_contact(now),
            Stream::Instances => !self.has_recent_contact(now) || self.store.instances().is_none(),
        }
    }

    /// Whether the held list names no peer.
    ///
    /// The list lags: a fleet that starts may read a list that names no node
    /// yet. If each node took its own read as recent contact, none would read
    /// the catalogue, and the fleet would be ready only after a minute or more.
    /// A node without peers reads for itself, within its part of the read
    /// budget.
    fn has_no_peers(&self) -> bool {
        self.store.instances().is_some() && self.peers.len() == 0
    }

    /// Whether the list doesn't name this node, or gives it no rank in a fleet
    /// in which all nodes read.
    ///
    /// The target of an unlisted node crashed or hasn't registered yet, while
    /// callers at its instance are still served. Other nodes don't have it as a
    /// peer, so that it would receive changes by regular comparisons only, and
    /// meanwhile send requests to targets that announced long ago that they
    /// leave. Therefore it compares often, and reads for itself if no peer
    /// answers.
    ///
    /// A node whose target drains is listed and receives announcements like all
    /// others. In a fleet in which all nodes read, it reads as well, though it
    /// has no rank.
    pub(super) fn is_unlisted_or_unranked(&self) -> bool {
        let placement = self.role.placement();
        placement
            .is_some_and(|it| !it.listed || (it.rank.is_none() && self.role.every_node_reads()))
    }

    /// Whether a recent comparison with a peer makes reads of the platform
    /// unnecessary.
    ///
    /// An unlisted node compares often and needn't read: otherwise nodes that
    /// wait to be listed and nodes whose targets were removed from the list
    /// would make most of a fleet's reads. In a fleet in which all nodes read, peers would only
    /// add a hop.
    fn sync_replaces_read(&self, now: Tick) -> bool {
        let replied_at = self.gossip.last_sync_reply;
        !self.role.every_node_reads()
            && replied_at.is_some_and(|at| now.since(at) < MAX_SYNC_REPLY_AGE)
    }

    /// The age of the newest proof of contact, counted from this node's start
    /// if there is none.
    pub(super) fn contact_age(&self, now: Tick) -> Duration {
        let age = self.contact.age(now);
        age.unwrap_or_else(|| now.since(self.started))
    }

    /// Whether the newest proof of contact that this node has is recent.
    pub(super) fn has_recent_contact(&self, now: Tick) -> bool {
        let age = self.contact.age(now);
        age.is_some_and(|age| age < self.role.max_healthy_age())
    }

    pub(super) fn handle_source_result(
        &mut self,
        now: Tick,
        stream: Stream,
        result: SourceResult,
        out: &mut Vec<Action>,
    ) {
        if self.reads[stream as usize].discard_outdated() {
            return;
        }
        if stream == Stream::Instances {
            self.track_outage(now, &result);
        }
        let result = self.qualify(now, result, out);
        let proved_at = self.reads[stream as usize].proved_at(now, &result);
        // A deferred result proves nothing, and is read again once its time is over.
        if self.apply_source_result(now, stream, result, out) {
            self.record_read_proof(now, stream, proved_at);
        }
    }

    /// Applies a result. Returns whether this node holds now what the platform published, or
    /// refuses it; false if the result is deferred.
    fn apply_source_result(
        &mut self,
        now: Tick,
        stream: Stream,
        result: SourceResult,
        out: &mut Vec<Action>,
    ) -> bool {
        if let Some(revision) = result.revision()
            && self.store.awaits_settling(stream, revision)
        {
            self.note_source_answer(now, stream, None);
            self.defer_until_settled(now, stream);
            return false;
        }
        self.record_list_proof(stream, &result);
        match result {
            SourceResult::Catalogue { revision, text } => {
                self.note_source_answer(now, stream, Some(revision));
                self.offer_catalogue_text(now, revision, &text, out);
            }
            SourceResult::CatalogueItems { revision, items } => {
                self.note_source_answer(now, stream, Some(revision));
                let before = self.store.catalogue().cloned();
                let outcome = self.store.offer_items(revision, items, out);
                self.finish_catalogue_read(now, before.as_deref(), outcome, out);
            }
            SourceResult::Instances {
                revision,
                instances,
            } => match InstanceList::new(revision, self.store.keep_leaving(instances)) {
                // The list has to be read again, so that it doesn't count as
                // seen.
                Ok(list) if self.defer_incomplete_list(now, &list, out) => {
                    self.note_source_answer(now, stream, None);
                    return false;
                }
                Ok(list) => {
                    self.note_source_answer(now, stream, Some(revision));
                    let outcome = self.offer_instances(now, list, &Origin::Source, out);
                    self.pause_after_read(now, stream, outcome);
                }
                Err(cause) => {
                    self.note_source_answer(now, stream, Some(revision));
                    self.refuse_malformed(stream, revision, &cause.to_string(), out);
                }
            },
            SourceResult::Malformed { revision, reason } => {
                self.note_source_answer(now, stream, Some(revision));
                self.refuse_malformed(stream, revision, &reason, out);
            }
            SourceResult::Unchanged { newest } => self.note_unchanged(now, stream, newest, out),
            SourceResult::NothingPublished => {
                self.contact.record_contact(now, self.role.takeover_rank());
                self.reads[stream as usize].note_nothing_published(now, &mut self.rng);
            }
            SourceResult::Busy { retry_after } => {
                // The platform answered: a takeover by other nodes would only
                // add load.
                self.contact.record_contact(now, self.role.takeover_rank());
                let wait = retry_after.unwrap_or_default();
                self.reads[stream as usize].fail(now, wait, &mut self.rng);
            }
            SourceResult::Failed { .. } => {
                self.reads[stream as usize].fail(now, Duration::ZERO, &mut self.rng);
            }
        }
        true
    }

    /// Records the epoch of a result, and makes its revision provisional if that epoch
    /// hasn't settled.
    fn qualify(&mut self, now: Tick, result: SourceResult, out: &mut Vec<Action>) -> SourceResult {
        result.map_revision(|revision| {
            let epoch = revision.epoch();
            if let Some(before) = self.store.epochs.observe(now, epoch) {
                out.push(Action::Audit(AuditEvent::EpochBegan { epoch, before }));
            }
            self.store.epochs.qualify(revision)
        })
    }

    /// Defers the next read of a stream until the platform's newest epoch has settled. What
    /// the platform returns until then may be older than the held version.
    fn defer_until_settled(&mut self, now: Tick, stream: Stream) {
        if let Some(due) = self.store.epochs.settle_due() {
            self.reads[stream as usize].defer_until(now, due);
        }
    }

    /// Tracks whether the platform is unavailable, before its answer counts as
    /// contact.
    fn track_outage(&mut self, now: Tick, result: &SourceResult) {
        if matches!(result, SourceResult::Failed { .. }) {
            return self.list_regression.note_failure(now);
        }
        self.track_unobserved_outage(now);
        let age = self.contact.age(now);
        let since_start = now.since(Tick::ZERO);
        let contact = age.map(|age| Tick::ZERO + since_start.saturating_sub(age));
        self.list_regression.note_answer(now, contact);
    }

    /// Assumes an outage if no node has proved anything for longer than the nodes of the fleet
    /// need to read: their reads have failed, though this node may not have read.
    fn track_unobserved_outage(&mut self, now: Tick) {
        let longest = self.cfg.staleness_bound + MIN_OUTAGE;
        let proved = self.staleness.age(now, Stream::Instances);
        // A younger contact is the platform's return.
        let answered = self.contact.age(now).filter(|age| *age >= RENEWAL_GRACE);
        let age = proved.map(|age| answered.map_or(age, |answered| age.min(answered)));
        let age = age.filter(|age| *age >= longest && !self.role.every_node_reads());
        if let Some(age) = age {
            let since_start = now.since(Tick::ZERO);
            let since = Tick::ZERO + since_start.saturating_sub(age);
            self.list_regression.note_return(now, since);
        }
    }

    /// Defers a list that may lack entries because of an outage; it is read
    /// again after live targets have had time to renew theirs.
    fn defer_incomplete_list(
        &mut self,
        now: Tick,
        list: &InstanceList,
        out: &mut Vec<Action>,
    ) -> bool {
        let held = self.store.instances().map(AsRef::as_ref);
        let Some(deferral) = self.list_regression.defer(now, held, list) else {
            return false;
        };
        self.reads[Stream::Instances as usize].defer_until(now, deferral.until);
        out.push(Action::Audit(AuditEvent::ListDeferred {
            offered: list.version().revision(),
            missing: deferral.missing,
            wait: deferral.until.since(now),
        }));
        true
    }

    /// Records which list was the newest by an answer of the platform. An
    /// answer without a revision, one that may lag, or one of the catalogue
    /// proves nothing about the list.
    fn record_list_proof(&mut self, stream: Stream, result: &SourceResult) {
        let newest = match result {
            SourceResult::Instances { revision, .. } => Some(*revision),
            SourceResult::Unchanged { newest } if stream == Stream::Instances => *newest,
            _ => None,
        };
        let read_started = self.reads[stream as usize].newest_read_started();
        if let (Some(read_started), Some(newest)) = (read_started, newest) {
            self.list_proof.record_source_answer(read_started, newest);
        }
    }

    fn note_source_answer(&mut self, now: Tick, stream: Stream, seen: Option<Revision>) {
        // A catch-up read doesn't replace a reader that fails for long.
        if self.read_reason(now, stream) != Some(ReadReason::CatchUp) {
            self.contact.record_contact(now, self.role.takeover_rank());
        }
        self.reads[stream as usize].succeed(now, seen);
    }

    fn offer_catalogue_text(
        &mut self,
        now: Tick,
        revision: Revision,
        text: &str,
        out: &mut Vec<Action>,
    ) {
        let before = self.store.catalogue().cloned();
        let outcome = self.store.offer_text(revision, text, out);
        self.finish_catalogue_read(now, before.as_deref(), outcome, out);
    }

    fn finish_catalogue_read(
        &mut self,
        now: Tick,
        before: Option<&Catalogue>,
        outcome: OfferOutcome,
        out: &mut Vec<Action>,
    ) {
        if outcome == OfferOutcome::Accepted {
            self.catalogue_accepted(now, before, &Origin::Source, out);
        }
        self.pause_after_read(now, Stream::Catalogue, outcome);
    }

    fn refuse_malformed(
        &mut self,
        stream: Stream,
        revision: Revision,
        reason: &str,
        out: &mut Vec<Action>,
    ) {
        let version = Version::new(revision, Digest::of(reason.as_bytes()));
        if !self.store.is_refused(version) {
            let reason = reason.to_owned();
            self.store
                .refuse(stream, version, &Origin::Source, reason, out);
        }
    }

    fn note_unchanged(
        &mut self,
        now: Tick,
        stream: Stream,
        newest: Option<Revision>,
        out: &mut Vec<Action>,
    ) {
        let early = self.reads[stream as usize].is_early(now);
        self.note_source_answer(now, stream, None);
        if early {
            self.reads[stream as usize].defer_until(now, now + EMPTY_ANSWER_DELAY);
        }
        let held = self.store.heads().of(stream);
        if let (Some(newest), Some(held)) = (newest, held)
            && newest < held.revision()
        {
            self.store.note_older(stream, newest, &Origin::Source, out);
        }
    }

    fn pause_after_read(&mut self, now: Tick, stream: Stream, outcome: OfferOutcome) {
        let rest = self.jittered(self.cfg.rest);
        let check = self.check_policy();
        let reads = &mut self.reads[stream as usize];
        let pause = match outcome {
            // Later versions may exist already: read again at once.
            OfferOutcome::Accepted if reads.answer_may_lag() => Duration::ZERO,
            OfferOutcome::Accepted => reads.pause_after_value(rest, check),
            // Mostly a version that a peer announced meanwhile.
            _ => reads.pause_after_value(EMPTY_ANSWER_DELAY, check),
        };
        reads.defer_until(now, now + pause);
    }

    /// Fails a read whose result never arrived, for instance because its
    /// connection broke while the process was paused. Otherwise this node would
    /// never read again.
    fn fail_overdue_read(&mut self, now: Tick, stream: Stream) {
        let tolerance = self.cfg.call_timeout.saturating_mul(4);
        let reads = &mut self.reads[stream as usize];
        if reads.is_overdue(now, tolerance) {
            reads.fail(now, Duration::ZERO, &mut self.rng);
        }
    }

    /// Updates this node's place from the held list.
    pub(super) fn update_place(&mut self, now: Tick, out: &mut Vec<Action>) {
        let Some(list) = self.store.instances() else {
            return;
        };
        let placement = Placement::find(list, &self.local.id, &self.local.domain);
        let before = self.role.is_reader();
        self.was_listed |= placement.listed;
        self.role.set_placement(placement.clone());
        let readers = self.role.readers_in_domain();
        self.budget.set_placement(now, &placement, readers);
        self.relay_tree = RelayTree::build(list, &self.local.id, &self.local.domain, readers);
        if self.role.is_reader() != before {
            self.audit_reading(out);
        }
    }

    pub(super) fn audit_reading(&self, out: &mut Vec<Action>) {
        out.push(Action::Audit(AuditEvent::Reading {
            reading: self.role.is_reader(),
            rank: self.role.takeover_rank(),
        }));
    }
}

/// The time until the next turn of the reader at `index`, counted from a proof of the one at
/// `first`. Turns are an interval apart and repeat after a round.
fn turn_after(first: &ReaderProof, index: u32, interval: Duration, round: Duration) -> Duration {
    let mut turn = interval.saturating_mul(index - first.reader);
    let earliest = first.age + interval.mul_f64(MIN_TURN_PART);
    while turn < earliest {
        turn += round;
    }
    turn - first.age
}
