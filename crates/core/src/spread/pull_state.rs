//! The versions that a node lacks and the peers that hold them.

use super::calls::Address;
use crate::Version;

/// Maximum number of peers that are remembered as holding a lacking version.
const MAX_CANDIDATES: usize = 4;

/// The state of pulling one stream's newest body.
#[derive(Debug, Default)]
pub(super) struct PullState {
    /// The newest advertised version.
    pub(super) newest_advertised: Option<Version>,
    /// Whether the last body couldn't be applied: the next is requested as a
    /// full document.
    pub(super) request_full: bool,
    candidates: Vec<Address>,
}

impl PullState {
    /// Records that a peer advertised a version that is lacking here.
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

    /// The next peer to pull from; a peer is called once for each time it is
    /// recorded.
    pub(super) fn next_candidate(&mut self) -> Option<Address> {
        if self.candidates.is_empty() {
            return None;
        }
        Some(self.candidates.remove(0))
    }

    /// Records that a version is held now.
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

    /// Forgets which peers hold the version; anti-entropy finds them again.
    pub(super) fn clear_candidates(&mut self) {
        self.candidates.clear();
    }
}
