//! The baseline for comparison: every node reads and watches the platform.

use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::source_reads::CheckPolicy;
use super::source_reads::SourceReads;
use super::version_store::OfferOutcome;
use super::version_store::VersionStore;
use crate::Action;
use crate::AuditEvent;
use crate::Disseminate;
use crate::Event;
use crate::InstanceId;
use crate::InstanceList;
use crate::LocalNode;
use crate::Origin;
use crate::PeerMessage;
use crate::PeerReply;
use crate::SourceResult;
use crate::SpreadConfig;
use crate::SpreadStatus;
use crate::Stream;
use crate::Tick;

/// Delay after an answer that came at once with an older version, as a stale
/// platform gives it. Without the delay, the node would read in a tight loop.
const STALE_ANSWER_DELAY: Duration = Duration::from_millis(200);

/// A node that reads and watches the platform itself, full bodies each time,
/// and sends no messages to peers.
#[derive(Debug)]
pub struct NaiveSpread {
    local: LocalNode,
    rng: SmallRng,
    store: VersionStore,
    reads: [SourceReads; 2],
    /// How long the platform may hold a watch.
    watch: Duration,
    started: Tick,
    joined: bool,
}

impl NaiveSpread {
    /// Creates the state of a node that starts at `now`; `seed` seeds its
    /// random choices.
    pub fn new(cfg: SpreadConfig, local: LocalNode, seed: u64, now: Tick) -> NaiveSpread {
        let reads = Stream::ALL.map(|stream| SourceReads::new(stream, &cfg));
        NaiveSpread {
            local,
            rng: SmallRng::seed_from_u64(seed),
            store: VersionStore::default(),
            reads,
            watch: cfg.watch,
            started: now,
            joined: false,
        }
    }

    fn start_due_reads(&mut self, now: Tick, out: &mut Vec<Action>) {
        for stream in Stream::ALL {
            let reads = &mut self.reads[stream as usize];
            if reads.due().is_some_and(|due| due <= now) {
                let check = CheckPolicy::AfterEach;
                reads.start_read(now, &self.store, check, self.watch, &mut self.rng, out);
            }
        }
    }

    fn handle_source_result(
        &mut self,
        now: Tick,
        stream: Stream,
        result: SourceResult,
        out: &mut Vec<Action>,
    ) {
        let reads = &mut self.reads[stream as usize];
        let outcome = match result {
            SourceResult::Catalogue { revision, text } => {
                reads.succeed(now, Some(revision));
                self.store.offer_text(revision, &text, out)
            }
            SourceResult::CatalogueItems { revision, items } => {
                reads.succeed(now, Some(revision));
                self.store.offer_items(revision, items, out)
            }
            SourceResult::Instances {
                revision,
                instances,
            } => {
                reads.succeed(now, Some(revision));
                match InstanceList::new(revision, instances) {
                    Ok(list) => self.store.offer_instances(list, &Origin::Source, out),
                    Err(_) => OfferOutcome::Refused,
                }
            }
            SourceResult::Malformed { revision, .. } => {
                reads.succeed(now, Some(revision));
                OfferOutcome::Refused
            }
            SourceResult::Unchanged { .. } => {
                reads.succeed(now, None);
                OfferOutcome::AlreadyHeld
            }
            SourceResult::NothingPublished => {
                reads.note_nothing_published(now, &mut self.rng);
                OfferOutcome::AlreadyHeld
            }
            SourceResult::Busy { retry_after } => {
                reads.fail(now, retry_after.unwrap_or_default(), &mut self.rng);
                OfferOutcome::AlreadyHeld
            }
            SourceResult::Failed { .. } => {
                reads.fail(now, Duration::ZERO, &mut self.rng);
                OfferOutcome::AlreadyHeld
            }
        };
        match outcome {
            OfferOutcome::Accepted => self.version_accepted(now, stream, out),
            OfferOutcome::Older => {
                self.reads[stream as usize].defer_until(now, now + STALE_ANSWER_DELAY)
            }
            _ => {}
        }
    }

    fn version_accepted(&mut self, now: Tick, stream: Stream, out: &mut Vec<Action>) {
        if self.store.snapshot().is_none() {
            return;
        }
        if self.joined {
            self.store.apply(stream, &Origin::Source, out);
            return;
        }
        self.joined = true;
        self.store.apply(Stream::Catalogue, &Origin::Source, out);
        out.push(Action::Joined);
        out.push(Action::Audit(AuditEvent::Joined {
            peers: 0,
            source: true,
            took: now.since(self.started),
        }));
    }
}

impl Disseminate for NaiveSpread {
    fn handle(&mut self, now: Tick, event: Event, out: &mut Vec<Action>) {
        if let Event::SourceRead { stream, result } = event {
            self.handle_source_result(now, stream, result, out);
        }
        self.start_due_reads(now, out);
    }

    fn answer(
        &mut self,
        _now: Tick,
        from: &InstanceId,
        _message: PeerMessage,
        _out: &mut Vec<Action>,
    ) -> PeerReply {
        debug_assert_ne!(*from, self.local.id);
        PeerReply::Refused
    }

    fn next_wakeup(&self) -> Tick {
        let due = self.reads.iter().filter_map(SourceReads::due);
        due.min().unwrap_or(Tick::from_micros(u64::MAX))
    }

    fn status(&self, _now: Tick) -> SpreadStatus {
        SpreadStatus {
            joined: self.joined,
            reading: true,
            held: self.store.heads(),
            advertised: self.store.heads(),
            refused: self.store.last_refused(),
            conflicts: self.store.conflicts(),
            refusals: self.store.refusals(),
            reads: self.reads.iter().map(SourceReads::read_count).sum(),
            ..SpreadStatus::default()
        }
    }
}
