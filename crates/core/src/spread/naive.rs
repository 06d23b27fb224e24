//! The obvious way, for comparison: every node reads and watches the platform.

use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::holder::Holder;
use super::holder::Verdict;
use super::source::Check;
use super::source::SourceReads;
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

/// The wait after an answer that should have been held back but wasn't, as a
/// stale platform gives it; without it the node would ask in a tight loop.
const STALE_WAIT: Duration = Duration::from_millis(200);

/// A node that reads and watches the platform for itself, whole bodies each
/// time, and doesn't talk to peers.
#[derive(Debug)]
pub struct Naive {
    local: LocalNode,
    rng: SmallRng,
    holder: Holder,
    reads: [SourceReads; 2],
    started: Tick,
    joined: bool,
}

impl Naive {
    /// A node that starts at `now`; `seed` decides its random choices.
    pub fn new(cfg: SpreadConfig, local: LocalNode, seed: u64, now: Tick) -> Naive {
        let reads = Stream::ALL.map(|stream| SourceReads::new(stream, &cfg));
        Naive {
            local,
            rng: SmallRng::seed_from_u64(seed),
            holder: Holder::default(),
            reads,
            started: now,
            joined: false,
        }
    }

    fn read_what_is_due(&mut self, now: Tick, out: &mut Vec<Action>) {
        for stream in Stream::ALL {
            let reads = &mut self.reads[stream as usize];
            if reads.due().is_some_and(|due| due <= now) {
                reads.read(now, &self.holder, Check::AfterEach, &mut self.rng, out);
            }
        }
    }

    fn source_read(
        &mut self,
        now: Tick,
        stream: Stream,
        result: SourceResult,
        out: &mut Vec<Action>,
    ) {
        let reads = &mut self.reads[stream as usize];
        let verdict = match result {
            SourceResult::Catalogue { revision, text } => {
                reads.succeed(now, Some(revision));
                self.holder.offer_text(revision, &text, out)
            }
            SourceResult::Items { revision, items } => {
                reads.succeed(now, Some(revision));
                self.holder.offer_items(revision, items, out)
            }
            SourceResult::Instances {
                revision,
                instances,
            } => {
                reads.succeed(now, Some(revision));
                match InstanceList::new(revision, instances) {
                    Ok(list) => self.holder.offer_instances(list, &Origin::Source, out),
                    Err(_) => Verdict::Refused,
                }
            }
            SourceResult::Malformed { revision, .. } => {
                reads.succeed(now, Some(revision));
                Verdict::Refused
            }
            SourceResult::Unchanged { .. } => {
                reads.succeed(now, None);
                Verdict::Same
            }
            SourceResult::Nothing => {
                reads.find_nothing(now, &mut self.rng);
                Verdict::Same
            }
            SourceResult::Busy { retry_after } => {
                reads.fail(now, retry_after.unwrap_or_default(), &mut self.rng);
                Verdict::Same
            }
            SourceResult::Failed { .. } => {
                reads.fail(now, Duration::ZERO, &mut self.rng);
                Verdict::Same
            }
        };
        match verdict {
            Verdict::Taken => self.taken(now, stream, out),
            Verdict::Older => self.reads[stream as usize].hold_back(now, now + STALE_WAIT),
            _ => {}
        }
    }

    fn taken(&mut self, now: Tick, stream: Stream, out: &mut Vec<Action>) {
        if self.holder.snapshot().is_none() {
            return;
        }
        if self.joined {
            self.holder.apply(stream, &Origin::Source, out);
            return;
        }
        self.joined = true;
        self.holder.apply(Stream::Catalogue, &Origin::Source, out);
        out.push(Action::Joined);
        out.push(Action::Audit(AuditEvent::Joined {
            peers: 0,
            source: true,
            took: now.since(self.started),
        }));
    }
}

impl Disseminate for Naive {
    fn handle(&mut self, now: Tick, event: Event, out: &mut Vec<Action>) {
        if let Event::SourceRead { stream, result } = event {
            self.source_read(now, stream, result, out);
        }
        self.read_what_is_due(now, out);
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
            held: self.holder.heads(),
            heard: self.holder.heads(),
            refused: self.holder.last_refused(),
            conflicts: self.holder.conflicts(),
            refusals: self.holder.refusals(),
            reads: self.reads.iter().map(SourceReads::count).sum(),
            ..SpreadStatus::default()
        }
    }
}
