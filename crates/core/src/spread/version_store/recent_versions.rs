//! Versions that were refused or conflicted, so that each is validated and
//! reported once.

use std::collections::VecDeque;

use crate::Version;

/// Maximum number of versions that are remembered; the oldest are evicted.
const MAX_RECENT_VERSIONS: usize = 64;

/// The most recently added versions, oldest first.
#[derive(Debug, Default)]
pub(super) struct RecentVersions(VecDeque<Version>);

impl RecentVersions {
    pub(super) fn add(&mut self, version: Version) {
        if self.0.len() == MAX_RECENT_VERSIONS {
            self.0.pop_front();
        }
        self.0.push_back(version);
    }

    /// Whether that version was added and not yet evicted.
    pub(super) fn contains(&self, version: Version) -> bool {
        self.0.contains(&version)
    }

    /// The version that was added last.
    pub(super) fn newest(&self) -> Option<Version> {
        self.0.back().copied()
    }
}
