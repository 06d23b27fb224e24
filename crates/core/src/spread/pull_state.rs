//! Bodies that a node lacks and where to get them.

use super::calls::Address;
use crate::Version;

/// Peers that are remembered as holding what is lacked.
const MAX_CANDIDATES: usize = 4;

/// The state of getting one stream's newest body.
#[derive(Debug, Default)]
pub(super) struct PullState {
    /// The newest version that was heard of.
    pub(super) newest_advertised: Option<Version>,
    /// Whether the last body didn't fit: the next is asked for whole.
    pub(super) request_full: bool,
    candidates: Vec<Address>,
}

impl PullState {
    /// Notes that a peer holds a version that is lacked here.
    pub(super) fn note_advertised(&mut self, version: Version, peer: &Address) {
        if self
            .newest_advertised
            .is_none_or(|newest_advertised| newest_advertised.revision() < version.revision())
        {
            self.newest_advertised = Some(version);
        }
        let known = self.candidates.contains(peer);
        if !known && self.candidates.len() < MAX_CANDIDATES {
            self.candidates.push(peer.clone());
        }
    }

    /// The next peer to ask; it is asked once for each time it is heard of.
    pub(super) fn next_candidate(&mut self) -> Option<Address> {
        if self.candidates.is_empty() {
            return None;
        }
        Some(self.candidates.remove(0))
    }

    /// Notes that a version is held now.
    pub(super) fn note_held(&mut self, version: Version) {
        self.request_full = false;
        if self
            .newest_advertised
            .is_none_or(|newest_advertised| newest_advertised.revision() <= version.revision())
        {
            self.newest_advertised = Some(version);
            self.candidates.clear();
        }
    }

    /// Forgets who holds what; anti-entropy finds it again.
    pub(super) fn clear_candidates(&mut self) {
        self.candidates.clear();
    }
}
