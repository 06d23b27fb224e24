//! The table of endpoint state records that a node holds.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::Digest;
use crate::EndpointState;
use crate::InstanceId;
use crate::InstanceList;
use crate::Phase;
use crate::Tick;

/// Number of hash buckets that two nodes compare to locate differing records.
pub(crate) const BUCKETS: usize = 64;

/// How long a record is kept after its instance was removed from the list.
const UNLISTED_RETENTION: Duration = Duration::from_secs(60);

/// Bounds the records of instances that are not listed.
const MAX_UNLISTED: usize = 1_024;

/// The result of merging a received record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum MergeOutcome {
    /// The record was newer and is stored now; contains the previous phase.
    Newer(Option<Phase>),
    /// The record was not newer than the stored one.
    NotNewer,
    /// The table already holds the maximum number of unlisted instances.
    TableFull,
}

/// The newest record of each instance.
///
/// Anti-entropy compares only the records of listed instances. Records of other
/// instances are forwarded once, when they are new, and expire some time after
/// the instance was removed from the list. If they were compared as well, a node
/// that had expired one would receive it again from a node that still held it,
/// and no such record would ever disappear.
///
/// # Invariants
///
/// A record is only replaced by a newer one. Each bucket's digest covers exactly
/// the listed records of that bucket.
#[derive(Debug)]
pub(crate) struct MembershipTable {
    records: BTreeMap<InstanceId, Record>,
    buckets: [u64; BUCKETS],
    unlisted: usize,
}

#[derive(Debug)]
struct Record {
    state: EndpointState,
    hash: u64,
    bucket: usize,
    /// When the instance was found to be unlisted; `None` while it is listed.
    unlisted_since: Option<Tick>,
}

impl MembershipTable {
    pub(crate) fn new() -> MembershipTable {
        MembershipTable {
            records: BTreeMap::new(),
            buckets: [0; BUCKETS],
            unlisted: 0,
        }
    }

    /// The record of an instance.
    pub(crate) fn get(&self, id: &InstanceId) -> Option<&EndpointState> {
        self.records.get(id).map(|record| &record.state)
    }

    /// All records.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &EndpointState> {
        self.records.values().map(|record| &record.state)
    }

    /// Stores a record if it is newer than the stored one.
    pub(crate) fn merge(
        &mut self,
        now: Tick,
        state: &EndpointState,
        list: Option<&InstanceList>,
    ) -> MergeOutcome {
        let hash = hash_of(state);
        if let Some(record) = self.records.get_mut(&state.instance) {
            if !state.is_newer_than(&record.state) {
                return MergeOutcome::NotNewer;
            }
            let before = record.state.phase;
            if record.unlisted_since.is_none() {
                // INVARIANT: XOR removes the old hash and adds the new one.
                self.buckets[record.bucket] ^= record.hash ^ hash;
            }
            record.state = state.clone();
            record.hash = hash;
            return MergeOutcome::Newer(Some(before));
        }
        let listed = list.is_some_and(|list| list.get(&state.instance).is_some());
        if !listed && self.unlisted >= MAX_UNLISTED {
            return MergeOutcome::TableFull;
        }
        self.insert(now, state.clone(), hash, listed);
        MergeOutcome::Newer(None)
    }

    /// Marks records as listed or unlisted by a new list and removes expired ones.
    pub(crate) fn apply_list(&mut self, now: Tick, list: &InstanceList) {
        self.buckets = [0; BUCKETS];
        self.unlisted = 0;
        for (id, record) in &mut self.records {
            if list.get(id).is_some() {
                record.unlisted_since = None;
                // INVARIANT: The buckets were cleared, and each listed record is added once.
                self.buckets[record.bucket] ^= record.hash;
            } else {
                record.unlisted_since.get_or_insert(now);
                self.unlisted += 1;
            }
        }
        self.expire_unlisted(now);
    }

    /// Removes records of instances that have been unlisted for the retention time.
    pub(crate) fn expire_unlisted(&mut self, now: Tick) {
        if self.unlisted == 0 {
            return;
        }
        self.records
            .retain(|_, record| match record.unlisted_since {
                Some(since) => now.since(since) < UNLISTED_RETENTION,
                None => true,
            });
        let unlisted = self
            .records
            .values()
            .filter(|it| it.unlisted_since.is_some());
        self.unlisted = unlisted.count();
    }

    /// A digest over all listed records.
    pub(crate) fn root_digest(&self) -> u64 {
        let mix = |sum: u64, bucket: &u64| sum.rotate_left(5).wrapping_mul(31) ^ bucket;
        self.buckets.iter().fold(0, mix)
    }

    /// The digest of the listed records of each bucket.
    pub(crate) fn bucket_digests(&self) -> Vec<u32> {
        self.buckets
            .iter()
            .map(|bucket| low_half(*bucket))
            .collect()
    }

    /// A bit set of the buckets whose digest differs from the peer's.
    pub(crate) fn differing_buckets(&self, peer_digests: &[u32]) -> u64 {
        let differs = |n: &usize| peer_digests.get(*n) != Some(&low_half(self.buckets[*n]));
        let differing = (0..BUCKETS).filter(differs);
        differing.fold(0, |bits, n| bits | 1 << n)
    }

    /// The listed records of the buckets whose bit is set.
    pub(crate) fn records_in_buckets(&self, bits: u64) -> impl Iterator<Item = &EndpointState> {
        let selected =
            move |it: &&Record| it.unlisted_since.is_none() && bits & (1 << it.bucket) != 0;
        let records = self.records.values().filter(selected);
        records.map(|record| &record.state)
    }

    fn insert(&mut self, now: Tick, state: EndpointState, hash: u64, listed: bool) {
        let bucket = bucket_of(&state.instance);
        if listed {
            // INVARIANT: The record is new, so the bucket doesn't contain its hash yet.
            self.buckets[bucket] ^= hash;
        } else {
            self.unlisted += 1;
        }
        let record = Record {
            hash,
            bucket,
            unlisted_since: (!listed).then_some(now),
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
    Digest::of(&bytes).prefix_u64()
}

/// The low 32 bits, which keeps messages small. A difference that they don't show
/// is found after the next change of the bucket.
fn low_half(hash: u64) -> u32 {
    let [a, b, c, d, ..] = hash.to_le_bytes();
    u32::from_le_bytes([a, b, c, d])
}
