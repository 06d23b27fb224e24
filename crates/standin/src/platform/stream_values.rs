//! The published values of one stream and the value that readers see.

use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;
use sassafrasspool_core::Epoch;
use sassafrasspool_core::Revision;
use tokio::time::Instant;

use super::MAX_VALUE_BYTES;
use super::published_value::PublishedValue;
use super::refusal::Refusal;

/// The number of values kept for [`StreamValues::freeze_at`]. More are kept only
/// while the lag leaves the newer ones invisible.
const MAX_KEPT_VALUES: usize = 16;

/// The published values of one stream.
///
/// # Invariants
///
/// Revisions grow strictly from front to back of `values`.
#[derive(Debug, Default)]
pub(super) struct StreamValues {
    values: VecDeque<PublishedValue>,
    epoch: Epoch,
    view: View,
}

/// The value that readers see.
#[derive(Debug, Default)]
enum View {
    /// The newest value that is visible now.
    #[default]
    Live,
    /// A fixed value, or none, regardless of later publications.
    Frozen(Option<PublishedValue>),
}

impl StreamValues {
    /// Publishes a value, visible after `lag`.
    ///
    /// # Errors
    ///
    /// Rejects a value over the size limit, and a forced revision that isn't
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
        // INVARIANT: `next_revision` returns only revisions above the newest one.
        self.values.push_back(PublishedValue {
            revision,
            body,
            visible_at: now + lag,
        });
        self.evict_oldest(now);
        Ok(revision)
    }

    /// The value that readers see at `now`.
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

    /// When the next value already published becomes visible after `now`.
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

    /// Fixes the view to the value that is visible at `now`.
    pub(super) fn freeze(&mut self, now: Instant) {
        let value = self.visible(now).cloned();
        self.view = View::Frozen(value);
    }

    /// Fixes the view to an older revision.
    ///
    /// # Errors
    ///
    /// Rejects a revision that is no longer kept.
    pub(super) fn freeze_at(&mut self, revision: Revision) -> Result<(), Refusal> {
        let value = self.values.iter().find(|value| value.revision == revision);
        let value = value.ok_or(Refusal::UnknownRevision(revision))?;
        self.view = View::Frozen(Some(value.clone()));
        Ok(())
    }

    /// Returns the view to the newest visible value.
    pub(super) fn unfreeze(&mut self) {
        self.view = View::Live;
    }

    /// Drops the values above the revision number `newest` and assigns the others to
    /// `epoch`. The oldest kept value stays.
    pub(super) fn restore(&mut self, newest: u64, epoch: Epoch) -> Result<(), Refusal> {
        while self.values.len() > 1
            && self
                .values
                .back()
                .is_some_and(|it| it.revision.get() > newest)
        {
            self.values.pop_back();
        }
        // INVARIANT: All values move to the same epoch, which keeps their order.
        for value in &mut self.values {
            let revision = Revision::in_epoch(epoch, value.revision.get());
            value.revision = revision.map_err(|e| Refusal::Malformed(e.to_string()))?;
        }
        self.unfreeze();
        self.epoch = epoch;
        Ok(())
    }

    /// The value published last, visible or not.
    pub(super) fn newest(&self) -> Option<&PublishedValue> {
        self.values.back()
    }

    fn next_revision(&self, forced: Option<Revision>) -> Result<Revision, Refusal> {
        let newest = self.values.back().map(|value| value.revision);
        let next = match forced {
            Some(forced) => forced,
            None => {
                let n = newest.map_or(0, Revision::get).saturating_add(1);
                Revision::in_epoch(self.epoch, n).map_err(|e| Refusal::Malformed(e.to_string()))?
            }
        };
        match newest {
            Some(newest) if next <= newest => Err(Refusal::RevisionNotAbove(newest)),
            _ => Ok(next),
        }
    }

    /// Drops the oldest values beyond [`MAX_KEPT_VALUES`]. A value that is still the
    /// newest visible one stays.
    fn evict_oldest(&mut self, now: Instant) {
        while self.values.len() > MAX_KEPT_VALUES && self.values[1].visible_at <= now {
            self.values.pop_front();
        }
    }
}
