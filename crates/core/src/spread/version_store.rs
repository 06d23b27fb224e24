//! The held version of both streams, and the validation of offered versions.

use std::sync::Arc;

use self::recent_versions::RecentVersions;
use self::validate::validate;
use crate::Action;
use crate::Applied;
use crate::AuditEvent;
use crate::Catalogue;
use crate::CatalogueItem;
use crate::Digest;
use crate::Heads;
use crate::Instance;
use crate::InstanceList;
use crate::InstanceState;
use crate::Origin;
use crate::Revision;
use crate::Snapshot;
use crate::Stream;
use crate::Version;
use crate::catalogue;
use crate::spread::epochs::Epochs;

mod recent_versions;
mod validate;

/// The result of offering a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum OfferOutcome {
    /// The version is held now.
    Accepted,
    /// The version was held already.
    AlreadyHeld,
    /// A newer version is held.
    Older,
    /// The same revision is held with another digest.
    Conflict,
    /// The version is invalid and remembered as refused.
    Refused,
}

/// The documents that a node holds and the snapshot bound from them.
///
/// # Invariants
///
/// The revision of each stream only grows, the snapshot is bound from exactly
/// the two held documents, and both held documents are valid.
#[derive(Debug, Default)]
pub(super) struct VersionStore {
    /// The epochs of the platform, which qualify the revisions that it reports.
    pub(super) epochs: Epochs,
    catalogue: Option<Arc<Catalogue>>,
    instances: Option<Arc<InstanceList>>,
    snapshot: Option<Arc<Snapshot>>,
    refused: RecentVersions,
    conflicting: RecentVersions,
    logged_older: [Option<Revision>; 2],
    conflicts: u64,
    refusals: u64,
}

impl VersionStore {
    pub(super) fn catalogue(&self) -> Option<&Arc<Catalogue>> {
        self.catalogue.as_ref()
    }

    pub(super) fn instances(&self) -> Option<&Arc<InstanceList>> {
        self.instances.as_ref()
    }

    pub(super) fn snapshot(&self) -> Option<&Arc<Snapshot>> {
        self.snapshot.as_ref()
    }

    pub(super) fn conflicts(&self) -> u64 {
        self.conflicts
    }

    pub(super) fn refusals(&self) -> u64 {
        self.refusals
    }

    /// The version that was refused last.
    pub(super) fn last_refused(&self) -> Option<Version> {
        self.refused.newest()
    }

    pub(super) fn heads(&self) -> Heads {
        Heads {
            catalogue: self.catalogue.as_ref().map(|held| held.version()),
            instances: self.instances.as_ref().map(|held| held.version()),
        }
    }

    /// Whether that version was refused before.
    pub(super) fn is_refused(&self, version: Version) -> bool {
        self.refused.contains(version)
    }

    /// Whether `version` is newer than the held one, or none is held.
    pub(super) fn lacks(&self, stream: Stream, version: Version) -> bool {
        let held = self.heads().of(stream);
        held.is_none_or(|held| supersedes(version.revision(), held.revision()))
    }

    /// Whether `revision` is newer than the held one, or none is held, and it wasn't refused.
    pub(super) fn lacks_revision(&self, stream: Stream, revision: Revision) -> bool {
        let refused = self.refused.newest().map(|refused| refused.revision());
        let held = self.heads().of(stream).map(|held| held.revision());
        refused != Some(revision) && held.is_none_or(|held| supersedes(revision, held))
    }

    /// Whether a revision that the platform reported can replace the held one only after
    /// its epoch has settled.
    pub(super) fn awaits_settling(&self, stream: Stream, offered: Revision) -> bool {
        let held = self.heads().of(stream).map(|held| held.revision());
        offered.is_provisional() && held.is_some_and(|held| held.epoch() < offered.epoch())
    }

    /// Keeps the targets as leaving that the held list shows as leaving. A
    /// generation of a target that has announced that it leaves never returns,
    /// so that an entry without the announcement is an older one.
    pub(super) fn keep_leaving(&self, mut instances: Vec<Instance>) -> Vec<Instance> {
        let Some(held) = &self.instances else {
            return instances;
        };
        for instance in &mut instances {
            let before = held.get(&instance.id);
            if before.is_some_and(|before| has_announced_leaving(before, instance)) {
                instance.state = InstanceState::Leaving;
            }
        }
        instances
    }

    /// Offers a catalogue that the platform gave as a text.
    pub(super) fn offer_text(
        &mut self,
        revision: Revision,
        text: &str,
        out: &mut Vec<Action>,
    ) -> OfferOutcome {
        let text_version = Version::new(revision, Digest::of(text.as_bytes()));
        if self.is_refused(text_version) {
            return OfferOutcome::Refused;
        }
        let parsed = catalogue::parse(text).map_err(|faults| faults.to_string());
        let parsed = parsed
            .and_then(|items| Catalogue::new(revision, items).map_err(|cause| cause.to_string()));
        match parsed {
            Ok(offered) => self.offer_catalogue(offered, &Origin::Source, out),
            Err(reason) => {
                self.refuse(
                    Stream::Catalogue,
                    text_version,
                    &Origin::Source,
                    reason,
                    out,
                );
                OfferOutcome::Refused
            }
        }
    }

    /// Offers a catalogue that the platform gave as items.
    pub(super) fn offer_items(
        &mut self,
        revision: Revision,
        items: Vec<CatalogueItem>,
        out: &mut Vec<Action>,
    ) -> OfferOutcome {
        match Catalogue::new(revision, items) {
            Ok(offered) => self.offer_catalogue(offered, &Origin::Source, out),
            Err(cause) => {
                let reason = cause.to_string();
                let version = Version::new(revision, Digest::of(reason.as_bytes()));
                self.refuse(Stream::Catalogue, version, &Origin::Source, reason, out);
                OfferOutcome::Refused
            }
        }
    }

    /// Offers a catalogue of any origin.
    pub(super) fn offer_catalogue(
        &mut self,
        offered: Catalogue,
        origin: &Origin,
        out: &mut Vec<Action>,
    ) -> OfferOutcome {
        let version = offered.version();
        let outcome = self.compare_with_held(Stream::Catalogue, version, origin, out);
        if outcome != OfferOutcome::Accepted {
            return outcome;
        }
        if let Some(reason) = self.older_edition(&offered) {
            self.refuse(Stream::Catalogue, version, origin, reason, out);
            return OfferOutcome::Refused;
        }
        match validate(&offered, self.instances.as_deref()) {
            Ok(snapshot) => {
                // INVARIANT: The revision was checked to be higher than the
                // held one.
                self.catalogue = Some(Arc::new(offered));
                self.set_snapshot(snapshot);
                OfferOutcome::Accepted
            }
            Err(faults) => {
                let reason = faults.to_string();
                self.refuse(Stream::Catalogue, version, origin, reason, out);
                OfferOutcome::Refused
            }
        }
    }

    /// Offers an instance list of any origin.
    pub(super) fn offer_instances(
        &mut self,
        offered: InstanceList,
        origin: &Origin,
        out: &mut Vec<Action>,
    ) -> OfferOutcome {
        let version = offered.version();
        let outcome = self.compare_with_held(Stream::Instances, version, origin, out);
        if outcome != OfferOutcome::Accepted {
            return outcome;
        }
        let bound = match (&self.snapshot, &self.catalogue) {
            // INVARIANT: The snapshot is bound from the held catalogue.
            (Some(snapshot), _) => Ok(Some(snapshot.with_instances(&offered))),
            (None, Some(catalogue)) => Snapshot::build(catalogue, &offered).map(Some),
            (None, None) => Ok(None),
        };
        match bound {
            Ok(snapshot) => {
                // INVARIANT: The revision was checked to be higher than the
                // held one.
                self.instances = Some(Arc::new(offered));
                self.set_snapshot(snapshot);
                OfferOutcome::Accepted
            }
            Err(faults) => {
                let reason = faults.to_string();
                self.refuse(Stream::Instances, version, origin, reason, out);
                OfferOutcome::Refused
            }
        }
    }

    /// Remembers that a version is invalid.
    pub(super) fn refuse(
        &mut self,
        stream: Stream,
        version: Version,
        origin: &Origin,
        reason: String,
        out: &mut Vec<Action>,
    ) {
        self.refusals += 1;
        self.refused.add(version);
        out.push(Action::Audit(AuditEvent::Refused {
            stream,
            version,
            origin: origin.clone(),
            reason,
        }));
    }

    /// Records that the platform's newest version is older than the held one.
    pub(super) fn note_older(
        &mut self,
        stream: Stream,
        offered: Revision,
        origin: &Origin,
        out: &mut Vec<Action>,
    ) {
        let Some(held) = self.heads().of(stream) else {
            return;
        };
        let last_logged = &mut self.logged_older[stream as usize];
        if *last_logged == Some(offered) {
            return;
        }
        *last_logged = Some(offered);
        out.push(Action::Audit(AuditEvent::OlderIgnored {
            stream,
            held,
            offered,
            origin: origin.clone(),
        }));
    }

    /// Records that the held revision exists with another content.
    pub(super) fn note_conflict(
        &mut self,
        stream: Stream,
        held: Version,
        offered: Version,
        origin: &Origin,
        out: &mut Vec<Action>,
    ) {
        if self.conflicting.contains(offered) {
            return;
        }
        self.conflicts += 1;
        self.conflicting.add(offered);
        out.push(Action::Audit(AuditEvent::Conflict {
            stream,
            held,
            offered,
            origin: origin.clone(),
        }));
    }

    /// Appends the actions that put the held snapshot in force.
    pub(super) fn apply(&self, stream: Stream, origin: &Origin, out: &mut Vec<Action>) {
        let (Some(snapshot), Some(version)) = (&self.snapshot, self.heads().of(stream)) else {
            return;
        };
        out.push(Action::Apply(Applied {
            snapshot: Arc::clone(snapshot),
            stream,
            version,
            origin: origin.clone(),
        }));
        out.push(Action::Audit(AuditEvent::Applied {
            stream,
            version,
            origin: origin.clone(),
        }));
    }

    /// Compares an offered version with the held one; `Accepted` means that it
    /// may replace the held one if it is valid.
    ///
    /// A stale platform, messages that arrive out of order and a process that
    /// was paused offer old versions as new. Only revisions are compared, never
    /// clocks or the order of arrival, so that none of them can take a node
    /// back to an older version.
    fn compare_with_held(
        &mut self,
        stream: Stream,
        offered: Version,
        origin: &Origin,
        out: &mut Vec<Action>,
    ) -> OfferOutcome {
        if self.is_refused(offered) {
            return OfferOutcome::Refused;
        }
        let Some(held) = self.heads().of(stream) else {
            return OfferOutcome::Accepted;
        };
        if held == offered {
            return OfferOutcome::AlreadyHeld;
        }
        if held.revision() == offered.revision() {
            self.note_conflict(stream, held, offered, origin, out);
            return OfferOutcome::Conflict;
        }
        if !supersedes(offered.revision(), held.revision()) {
            if *origin == Origin::Source {
                self.note_older(stream, offered.revision(), origin, out);
            }
            return OfferOutcome::Older;
        }
        OfferOutcome::Accepted
    }

    /// Why a catalogue has an older edition than the held one, if it has. Operators
    /// only increase editions, so that a copy to which the platform has returned
    /// shows its age even after its epoch has settled.
    fn older_edition(&self, offered: &Catalogue) -> Option<String> {
        let held = self.catalogue.as_ref()?.edition()?;
        let offered = offered.edition()?;
        let is_older = offered < held;
        is_older.then(|| format!("edition {offered} is older than edition {held}, which is held"))
    }

    fn set_snapshot(&mut self, snapshot: Option<Snapshot>) {
        if let Some(snapshot) = snapshot {
            self.snapshot = Some(Arc::new(snapshot));
        }
    }
}

/// Whether a revision may replace the held one. Within an epoch the number decides, also if
/// the held one is provisional: its holder gets a settled one that is no older.
fn supersedes(offered: Revision, held: Revision) -> bool {
    let older_in_epoch = offered.epoch() == held.epoch() && offered.get() < held.get();
    offered > held && !older_in_epoch
}

/// Whether the target of `instance` has announced that it leaves, as `before` shows.
fn has_announced_leaving(before: &Instance, instance: &Instance) -> bool {
    let (Some(before_target), Some(target)) = (&before.target, &instance.target) else {
        return false;
    };
    before.state == InstanceState::Leaving && before_target.is_same(target)
}
