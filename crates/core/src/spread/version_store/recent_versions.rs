//! Versions that were judged, so that each is judged and told once.

use std::collections::VecDeque;

use crate::Version;

/// Versions that are remembered; the oldest go.
const MAX_RECENT_VERSIONS: usize = 64;

/// The last versions of a kind, in the order of coming.
#[derive(Debug, Default)]
pub(super) struct RecentVersions(VecDeque<Version>);

impl RecentVersions {
    /// Adds a version.
    pub(super) fn add(&mut self, version: Version) {
        if self.0.len() == MAX_RECENT_VERSIONS {
            self.0.pop_front();
        }
        self.0.push_back(version);
    }

    /// Whether that version was added and is still remembered.
    pub(super) fn contains(&self, version: Version) -> bool {
        self.0.contains(&version)
    }

    /// The version that was added last.
    pub(super) fn newest(&self) -> Option<Version> {
        self.0.back().copied()
    }
}
