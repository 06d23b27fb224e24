//! Checks that no node returns to an older version.

use std::collections::HashMap;

use super::Rule;
use super::add;
use crate::InstanceId;
use crate::Revision;
use crate::Stream;
use crate::Tick;
use crate::Version;
use crate::history::Breach;
use crate::history::Event;
use crate::history::RequestId;
use crate::history::Restore;
use crate::history::Violation;

/// The newest version of each stream on each node. It is kept across
/// restarts: for callers, a new process with the same name is the same node.
///
/// Versions are ordered by the time at which their content was published. A
/// version that the source still has after its return from a copy has the place
/// of the version from before, whatever its epoch.
#[derive(Debug, Default)]
pub(super) struct NoStepBack {
    newest: HashMap<(InstanceId, Stream), Version>,
    /// The place of each published version in the order of publication.
    places: HashMap<(Stream, Revision), u64>,
    /// The number of publications so far.
    published: u64,
}

impl Rule for NoStepBack {
    fn observe(&mut self, at: Tick, event: &Event, found: &mut Vec<Violation>) {
        match event {
            Event::PublishedGood { stream, version } | Event::PublishedBad { stream, version } => {
                self.published += 1;
                let key = (*stream, version.revision());
                self.places.entry(key).or_insert(self.published);
            }
            Event::Restored(restore) => self.restore(restore),
            Event::InForce { node, held } => {
                for stream in Stream::ALL {
                    self.check_applied(at, node, stream, held.version(stream), found);
                }
            }
            Event::Pinned {
                request,
                node,
                catalogue,
                instances,
            } => {
                let pin = Pin {
                    at,
                    node,
                    request: *request,
                };
                self.check_pinned(&pin, Stream::Catalogue, *catalogue, found);
                self.check_pinned(&pin, Stream::Instances, *instances, found);
            }
            _ => {}
        }
    }
}

/// A request and the node that pinned a snapshot for it.
#[derive(Debug)]
struct Pin<'a> {
    at: Tick,
    node: &'a InstanceId,
    request: RequestId,
}

impl NoStepBack {
    /// Gives the versions of a copy the places that they had in the epoch before.
    fn restore(&mut self, restore: &Restore) {
        let copied = self.places.iter().filter_map(|((stream, before), place)| {
            let revision = restore.copied(*stream, *before)?;
            Some(((*stream, revision), *place))
        });
        let copied: Vec<_> = copied.collect();
        self.places.extend(copied);
    }

    fn is_step_back(&self, stream: Stream, held: Version, next: Version) -> bool {
        let [held_revision, next_revision] = [held, next].map(|it| it.revision().settled());
        if next_revision == held_revision {
            return next.digest() != held.digest();
        }
        if next_revision.epoch() != held_revision.epoch() && next.digest() == held.digest() {
            // The same content, which was published again after a return.
            return false;
        }
        if stream == Stream::Instances && is_of_earlier_epoch(held, next) {
            return false;
        }
        let place = |revision: Revision| self.places.get(&(stream, revision));
        match (place(held_revision), place(next_revision)) {
            (Some(held), Some(next)) => next < held,
            _ => next_revision < held_revision,
        }
    }

    fn check_applied(
        &mut self,
        at: Tick,
        node: &InstanceId,
        stream: Stream,
        applied: Version,
        found: &mut Vec<Violation>,
    ) {
        let newest = self.newest.entry((node.clone(), stream)).or_insert(applied);
        let held = *newest;
        if self.is_step_back(stream, held, applied) {
            let node = node.clone();
            add(
                found,
                at,
                Breach::SteppedBack {
                    node,
                    stream,
                    held,
                    applied,
                },
            );
        } else {
            self.newest.insert((node.clone(), stream), applied);
        }
    }

    fn check_pinned(
        &self,
        pin: &Pin<'_>,
        stream: Stream,
        pinned: Version,
        found: &mut Vec<Violation>,
    ) {
        let Some(&held) = self.newest.get(&(pin.node.clone(), stream)) else {
            return;
        };
        if self.is_step_back(stream, held, pinned) {
            let breach = Breach::ServedByOlder {
                node: pin.node.clone(),
                request: pin.request,
                stream,
                held,
                pinned,
            };
            add(found, pin.at, breach);
        }
    }
}

/// Whether a provisional version is replaced by one of an earlier epoch.
///
/// Which of two such lists is newer can't be known: the one of the earlier epoch may be from
/// a node that was cut off before the copy was made. Catalogues have editions that tell.
fn is_of_earlier_epoch(held: Version, next: Version) -> bool {
    let [held, next] = [held, next].map(|version| version.revision());
    held.is_provisional() && next.epoch() < held.epoch()
}
