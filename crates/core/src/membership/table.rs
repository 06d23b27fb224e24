//! All records that a node knows.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::Digest;
use crate::EndpointState;
use crate::InstanceId;
use crate::InstanceList;
use crate::Phase;
use crate::Tick;

/// Buckets by which two nodes find out where their records differ.
pub(crate) const BUCKETS: usize = 64;

/// How long a record is kept after the list dropped its instance.
const KEPT_UNLISTED: Duration = Duration::from_secs(60);

/// Records of instances that the list doesn't name.
const MAX_UNLISTED: usize = 1_024;

/// What became of a record that was heard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Merged {
    /// It is news; the phase known before is given.
    News(Option<Phase>),
    /// It says nothing new.
    Known,
    /// There is no room for one more unlisted instance.
    Full,
}

/// Records by instance, of which the highest wins.
///
/// Only records of listed instances are compared between nodes. Others travel
/// when they are news and are forgotten a while after the list dropped their
/// instance: were they compared as well, a node that had forgotten one would
/// get it again from a node that hadn't, and none would ever go.
///
/// # Invariants
///
/// A record is only replaced by a newer one. Each digest is that of the listed
/// records of its bucket.
#[derive(Debug)]
pub(crate) struct Members {
    records: BTreeMap<InstanceId, Record>,
    buckets: [u64; BUCKETS],
    unlisted: usize,
}

#[derive(Debug)]
struct Record {
    state: EndpointState,
    hash: u64,
    bucket: usize,
    /// Since when the list doesn't name the instance.
    unlisted: Option<Tick>,
}

impl Members {
    pub(crate) fn new() -> Members {
        Members {
            records: BTreeMap::new(),
            buckets: [0; BUCKETS],
            unlisted: 0,
        }
    }

    /// What is known of an instance.
    pub(crate) fn get(&self, id: &InstanceId) -> Option<&EndpointState> {
        self.records.get(id).map(|record| &record.state)
    }

    /// All records.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &EndpointState> {
        self.records.values().map(|record| &record.state)
    }

    /// Takes in a record, if it is news.
    pub(crate) fn merge(
        &mut self,
        now: Tick,
        state: &EndpointState,
        list: Option<&InstanceList>,
    ) -> Merged {
        let hash = hash_of(state);
        if let Some(record) = self.records.get_mut(&state.instance) {
            if !state.is_newer_than(&record.state) {
                return Merged::Known;
            }
            let before = record.state.phase;
            if record.unlisted.is_none() {
                // INVARIANT: The old hash goes out as the new one comes in.
                self.buckets[record.bucket] ^= record.hash ^ hash;
            }
            record.state = state.clone();
            record.hash = hash;
            return Merged::News(Some(before));
        }
        let listed = list.is_some_and(|list| list.get(&state.instance).is_some());
        if !listed && self.unlisted >= MAX_UNLISTED {
            return Merged::Full;
        }
        self.insert(now, state.clone(), hash, listed);
        Merged::News(None)
    }

    /// Takes over a new list, and forgets what it dropped long ago.
    pub(crate) fn relist(&mut self, now: Tick, list: &InstanceList) {
        self.buckets = [0; BUCKETS];
        self.unlisted = 0;
        for (id, record) in &mut self.records {
            if list.get(id).is_some() {
                record.unlisted = None;
                // INVARIANT: Every listed record goes in once.
                self.buckets[record.bucket] ^= record.hash;
            } else {
                record.unlisted.get_or_insert(now);
                self.unlisted += 1;
            }
        }
        self.forget(now);
    }

    /// Forgets records of instances that the list dropped long ago.
    pub(crate) fn forget(&mut self, now: Tick) {
        if self.unlisted == 0 {
            return;
        }
        self.records.retain(|_, record| match record.unlisted {
            Some(since) => now.since(since) < KEPT_UNLISTED,
            None => true,
        });
        let unlisted = self.records.values().filter(|it| it.unlisted.is_some());
        self.unlisted = unlisted.count();
    }

    /// A digest over all listed records.
    pub(crate) fn root(&self) -> u64 {
        let mix = |sum: u64, bucket: &u64| sum.rotate_left(5).wrapping_mul(31) ^ bucket;
        self.buckets.iter().fold(0, mix)
    }

    /// Digests of the listed records by bucket.
    pub(crate) fn digests(&self) -> Vec<u32> {
        self.buckets.iter().map(|bucket| fold(*bucket)).collect()
    }

    /// A bit for each bucket that differs from a peer's.
    pub(crate) fn differing(&self, theirs: &[u32]) -> u64 {
        let differs = |n: &usize| theirs.get(*n) != Some(&fold(self.buckets[*n]));
        let differing = (0..BUCKETS).filter(differs);
        differing.fold(0, |bits, n| bits | 1 << n)
    }

    /// The listed records of the buckets that have a bit.
    pub(crate) fn in_buckets(&self, bits: u64) -> impl Iterator<Item = &EndpointState> {
        let wanted = move |it: &&Record| it.unlisted.is_none() && bits & (1 << it.bucket) != 0;
        let records = self.records.values().filter(wanted);
        records.map(|record| &record.state)
    }

    fn insert(&mut self, now: Tick, state: EndpointState, hash: u64, listed: bool) {
        let bucket = bucket_of(&state.instance);
        if listed {
            // INVARIANT: The record is new, so that its hash isn't in yet.
            self.buckets[bucket] ^= hash;
        } else {
            self.unlisted += 1;
        }
        let record = Record {
            hash,
            bucket,
            unlisted: (!listed).then_some(now),
            state,
        };
        self.records.insert(record.state.instance.clone(), record);
    }
}

fn bucket_of(id: &InstanceId) -> usize {
    let digest = Digest::of(id.as_str().as_bytes());
    usize::from(digest.as_bytes()[0]) % BUCKETS
}

fn hash_of(state: &EndpointState) -> u64 {
    let mut bytes = Vec::with_capacity(64);
    bytes.extend_from_slice(state.instance.as_str().as_bytes());
    bytes.extend_from_slice(&state.incarnation.to_le_bytes());
    bytes.extend_from_slice(&state.sequence.to_le_bytes());
    bytes.push(state.phase as u8);
    Digest::of(&bytes).head()
}

/// Half of the bits, for messages; what it misses, the next change shows.
fn fold(hash: u64) -> u32 {
    let [a, b, c, d, ..] = hash.to_le_bytes();
    u32::from_le_bytes([a, b, c, d])
}
