//! How long a node may have missed changes of the platform.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::Stream;
use crate::Tick;

/// The ages of a node's knowledge at which the fleet acts, all of them parts of one bound.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct StalenessBounds {
    bound: Duration,
}

impl StalenessBounds {
    pub(crate) fn new(bound: Duration) -> StalenessBounds {
        StalenessBounds { bound }
    }

    /// Time within which the readers together prove that nothing newer was published.
    pub(crate) fn proof_interval(self) -> Duration {
        self.bound / 3
    }

    /// Age from which a node asks its peers. A node that lost one heartbeat doesn't reach it.
    pub(crate) fn ask_age(self) -> Duration {
        self.bound * 2 / 3
    }

    /// Time that peers have for an answer before the node reads the platform.
    pub(crate) fn answer_time(self) -> Duration {
        self.bound - self.ask_age()
    }
}

/// Up to when the held versions are known to include everything that was published.
///
/// An answer of the platform proves this at most for the start of its read, since the answer
/// may have waited in a buffer, or for the end of the time for which the platform held the
/// read. An answer without knowledge, such as a refusal, proves nothing.
///
/// # Invariants
///
/// The times only grow. They may lie before the start of the node's clock.
#[derive(Debug, Default)]
pub(crate) struct StalenessClock {
    streams: [ProvedTimes; Stream::ALL.len()],
}

/// Times in microseconds of this node's clock.
#[derive(Debug, Default)]
struct ProvedTimes {
    /// The newest proof of any node.
    newest: Option<Proof>,
    /// The newest proof that each of the other readers made, by its place among them.
    readers: BTreeMap<u32, i64>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Proof {
    at_us: i64,
    reader: Option<u32>,
}

/// A proof that was received from a reader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ReaderProof {
    /// The reader's place among the readers of the fleet.
    pub(crate) reader: u32,
    /// The age of its newest proof.
    pub(crate) age: Duration,
}

impl StalenessClock {
    /// Records that this node's own read proved the held version to be the newest at `at`.
    /// `reader` is its place among the readers of the fleet, if it is one.
    pub(crate) fn record_read(&mut self, stream: Stream, at: Tick, reader: Option<u32>) {
        let proof = Proof {
            at_us: micros(at),
            reader,
        };
        self.streams[stream as usize].update(proof);
    }

    /// Records the proof of a peer, which was `age` old at `sent_at` and made by `reader`.
    pub(crate) fn record_received(
        &mut self,
        sent_at: Tick,
        stream: Stream,
        age: Duration,
        reader: Option<u32>,
    ) {
        let age = i64::try_from(age.as_micros()).unwrap_or(i64::MAX);
        let at_us = micros(sent_at).saturating_sub(age);
        let times = &mut self.streams[stream as usize];
        times.update(Proof { at_us, reader });
        if let Some(reader) = reader {
            let newest = times.readers.entry(reader).or_insert(at_us);
            *newest = at_us.max(*newest);
        }
    }

    /// The age of the newest proof, if there is one.
    pub(crate) fn age(&self, now: Tick, stream: Stream) -> Option<Duration> {
        let newest = self.streams[stream as usize].newest?;
        Some(age_of(now, newest.at_us))
    }

    /// The reader that made the newest proof, if a reader did.
    pub(crate) fn prover(&self, stream: Stream) -> Option<u32> {
        self.streams[stream as usize].newest?.reader
    }

    /// The proofs of the other readers that are no older than `max_age`, in the order of
    /// their places. Older ones are removed.
    pub(crate) fn reader_proofs(
        &mut self,
        now: Tick,
        stream: Stream,
        max_age: Duration,
    ) -> Vec<ReaderProof> {
        let readers = &mut self.streams[stream as usize].readers;
        readers.retain(|_, at_us| age_of(now, *at_us) <= max_age);
        let proofs = readers.iter().map(|(reader, at_us)| ReaderProof {
            reader: *reader,
            age: age_of(now, *at_us),
        });
        proofs.collect()
    }
}

impl ProvedTimes {
    fn update(&mut self, proof: Proof) {
        // INVARIANT: The newest proof is kept.
        self.newest = self.newest.max(Some(proof));
    }
}

fn age_of(now: Tick, at_us: i64) -> Duration {
    let age = micros(now).saturating_sub(at_us);
    Duration::from_micros(u64::try_from(age).unwrap_or(0))
}

fn micros(tick: Tick) -> i64 {
    i64::try_from(tick.as_micros()).unwrap_or(i64::MAX)
}
