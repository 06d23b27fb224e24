//! What a node holds of both streams, and the judgement of what is offered.

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
use crate::InstanceList;
use crate::Origin;
use crate::Revision;
use crate::Snapshot;
use crate::Stream;
use crate::Version;
use crate::catalogue;

mod recent_versions;
mod validate;

/// What became of an offered version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum OfferOutcome {
    /// It is held now.
    Accepted,
    /// It was held already.
    AlreadyHeld,
    /// Something newer is held.
    Older,
    /// The same revision is held with another digest.
    Conflict,
    /// It is bad, and remembered as such.
    Refused,
}

/// The documents that a node holds and the snapshot bound from them.
///
/// # Invariants
///
/// The revision of each stream only grows, and the snapshot is bound from
/// exactly the two documents held. What is held was judged good.
#[derive(Debug, Default)]
pub(super) struct VersionStore {
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

    /// The newest version of the catalogue that was refused.
    pub(super) fn last_refused(&self) -> Option<Version> {
        self.refused.newest()
    }

    pub(super) fn heads(&self) -> Heads {
        Heads {
            catalogue: self.catalogue.as_ref().map(|held| held.version()),
            instances: self.instances.as_ref().map(|held| held.version()),
        }
    }

    /// Whether that version was judged bad before.
    pub(super) fn is_refused(&self, version: Version) -> bool {
        self.refused.contains(version)
    }

    /// Whether `version` is newer than what is held.
    pub(super) fn lacks(&self, stream: Stream, version: Version) -> bool {
        let held = self.heads().of(stream);
        held.is_none_or(|held| held.revision() < version.revision())
    }

    /// The text of a catalogue as the platform gave it.
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

    /// A catalogue that the platform gave in another form than its text.
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

    /// A catalogue, from wherever.
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
        match validate(&offered, self.instances.as_deref()) {
            Ok(snapshot) => {
                // INVARIANT: The revision was found higher than the one held.
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

    /// An instance list, from wherever.
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
            // INVARIANT: The snapshot is bound from the catalogue held.
            (Some(snapshot), _) => Ok(Some(snapshot.with_instances(&offered))),
            (None, Some(catalogue)) => Snapshot::build(catalogue, &offered).map(Some),
            (None, None) => Ok(None),
        };
        match bound {
            Ok(snapshot) => {
                // INVARIANT: The revision was found higher than the one held.
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

    /// Notes that a version is bad.
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

    /// Notes that the platform's newest is older than what is held.
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

    /// Notes that another content of the held revision exists.
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

    /// The actions that put the held snapshot in force.
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

    /// Compares an offered version with what is held; `Accepted` means that it
    /// may be, if it is good.
    ///
    /// A stale platform, a crossed message and a process that slept all offer
    /// old versions as new. Revisions are compared and never clocks or the
    /// order of arrival, so that none of them can step a node back.
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
        if held.revision() > offered.revision() {
            if *origin == Origin::Source {
                self.note_older(stream, offered.revision(), origin, out);
            }
            return OfferOutcome::Older;
        }
        OfferOutcome::Accepted
    }

    fn set_snapshot(&mut self, snapshot: Option<Snapshot>) {
        if let Some(snapshot) = snapshot {
            self.snapshot = Some(Arc::new(snapshot));
        }
    }
}
