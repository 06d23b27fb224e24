//! Bodies that a node lacks and where to get them.

use super::calls::Address;
use crate::Version;

/// Peers that are remembered as holding what is lacked.
const MAX_CANDIDATES: usize = 4;

/// The state of getting one stream's newest body.
#[derive(Debug, Default)]
pub(super) struct Pulls {
    /// The newest version that was heard of.
    pub(super) heard: Option<Version>,
    /// Whether the last body didn't fit: the next is asked for whole.
    pub(super) whole: bool,
    candidates: Vec<Address>,
}

impl Pulls {
    /// Notes that a peer holds a version that is lacked here.
    pub(super) fn note(&mut self, version: Version, holder: &Address) {
        if self
            .heard
            .is_none_or(|heard| heard.revision() < version.revision())
        {
            self.heard = Some(version);
        }
        let known = self.candidates.contains(holder);
        if !known && self.candidates.len() < MAX_CANDIDATES {
            self.candidates.push(holder.clone());
        }
    }

    /// The next peer to ask; it is asked once for each time it is heard of.
    pub(super) fn next(&mut self) -> Option<Address> {
        if self.candidates.is_empty() {
            return None;
        }
        Some(self.candidates.remove(0))
    }

    /// Notes that a version is held now.
    pub(super) fn note_held(&mut self, version: Version) {
        self.whole = false;
        if self
            .heard
            .is_none_or(|heard| heard.revision() <= version.revision())
        {
            self.heard = Some(version);
            self.candidates.clear();
        }
    }

    /// Forgets who holds what; anti-entropy finds it again.
    pub(super) fn forget(&mut self) {
        self.candidates.clear();
    }
}
