//! The values of one stream, and which of them readers see.

use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;
use sassafrasspool_core::Revision;
use tokio::time::Instant;

use super::MAX_VALUE_BYTES;
use super::published_value::PublishedValue;
use super::refusal::Refusal;

/// The values that are kept for [`StreamValues::freeze_at`].
const MAX_KEPT_VALUES: usize = 16;

/// The published values of one stream.
///
/// # Invariants
///
/// Revisions grow strictly from front to back of `values`.
#[derive(Debug, Default)]
pub(super) struct StreamValues {
    values: VecDeque<PublishedValue>,
    view: View,
}

/// Which values readers are shown.
#[derive(Debug, Default)]
enum View {
    /// The newest that is visible by now.
    #[default]
    Live,
    /// One value, or none, whatever is published meanwhile.
    Frozen(Option<PublishedValue>),
}

impl StreamValues {
    /// Publishes a value, visible after `lag`.
    ///
    /// # Errors
    ///
    /// Refuses values over the size limit and a forced revision that isn't
    /// above the newest one.
    pub(super) fn publish(
        &mut self,
        body: Bytes,
        forced: Option<Revision>,
        now: Instant,
        lag: Duration,
    ) -> Result<Revision, Refusal> {
        if body.len() > MAX_VALUE_BYTES {
            return Err(Refusal::TooLarge(body.len()));
        }
        let revision = self.next_revision(forced)?;
        // INVARIANT: The revision was found to be above the newest one.
        self.values.push_back(PublishedValue {
            revision,
            body,
            visible_at: now + lag,
        });
        self.evict_oldest(now);
        Ok(revision)
    }

    /// What readers see at `now`.
    pub(super) fn visible(&self, now: Instant) -> Option<&PublishedValue> {
        match &self.view {
            View::Live => self
                .values
                .iter()
                .rev()
                .find(|value| value.visible_at <= now),
            View::Frozen(value) => value.as_ref(),
        }
    }

    /// When readers will see something else than at `now`, as far as known.
    pub(super) fn next_visible_at(&self, now: Instant) -> Option<Instant> {
        match self.view {
            View::Live => self
                .values
                .iter()
                .map(|v| v.visible_at)
                .filter(|&at| at > now)
                .min(),
            View::Frozen(_) => None,
        }
    }

    /// Goes on showing what is visible at `now`.
    pub(super) fn freeze(&mut self, now: Instant) {
        let value = self.visible(now).cloned();
        self.view = View::Frozen(value);
    }

    /// Goes back to an older revision and shows only that.
    ///
    /// # Errors
    ///
    /// Refuses a revision that isn't among those kept.
    pub(super) fn freeze_at(&mut self, revision: Revision) -> Result<(), Refusal> {
        let value = self.values.iter().find(|value| value.revision == revision);
        let value = value.ok_or(Refusal::UnknownRevision(revision))?;
        self.view = View::Frozen(Some(value.clone()));
        Ok(())
    }

    /// Shows the newest values again.
    pub(super) fn unfreeze(&mut self) {
        self.view = View::Live;
    }

    fn next_revision(&self, forced: Option<Revision>) -> Result<Revision, Refusal> {
        let newest = self.values.back().map(|value| value.revision);
        let next = match forced {
            Some(forced) => forced,
            None => {
                let n = newest.map_or(0, Revision::get).saturating_add(1);
                Revision::new(n).map_err(|e| Refusal::Malformed(e.to_string()))?
            }
        };
        match newest {
            Some(newest) if next <= newest => Err(Refusal::RevisionNotAbove(newest)),
            _ => Ok(next),
        }
    }

    /// Forgets values beyond those kept, but none that readers still see.
    fn evict_oldest(&mut self, now: Instant) {
        while self.values.len() > MAX_KEPT_VALUES && self.values[1].visible_at <= now {
            self.values.pop_front();
        }
    }
}
