//! Checks that a version is in force whole or not at all.

use std::collections::HashMap;
use std::collections::HashSet;

use super::Rule;
use super::add;
use crate::Digest;
use crate::InstanceId;
use crate::Stream;
use crate::Tick;
use crate::Version;
use crate::history::Breach;
use crate::history::Event;
use crate::history::SnapshotFacts;
use crate::history::Violation;

/// The valid versions published, and the content of each pair of versions as
/// the first record of it in force gives it. A run records a snapshot built
/// from the published texts first, so that a fault common to all nodes shows.
#[derive(Debug, Default)]
pub(super) struct AllOrNothing {
    published: HashSet<(Stream, Version)>,
    content: HashMap<(Version, Version), Digest>,
}

impl Rule for AllOrNothing {
    fn observe(&mut self, at: Tick, event: &Event, found: &mut Vec<Violation>) {
        match event {
            Event::PublishedGood { stream, version } => {
                self.published.insert((*stream, *version));
            }
            Event::Restored(restore) => {
                let copied = self.published.iter().filter_map(|(stream, before)| {
                    let revision = restore.copied(*stream, before.revision())?;
                    Some((*stream, Version::new(revision, before.digest())))
                });
                let copied: Vec<_> = copied.collect();
                self.published.extend(copied);
            }
            Event::InForce { node, held } => {
                self.check_published(at, node, held, found);
                self.check_content(at, node, held, found);
            }
            _ => {}
        }
    }
}

impl AllOrNothing {
    fn check_published(
        &self,
        at: Tick,
        node: &InstanceId,
        held: &SnapshotFacts,
        found: &mut Vec<Violation>,
    ) {
        for stream in Stream::ALL {
            let version = held.version(stream).settled();
            if !self.published.contains(&(stream, version)) {
                let node = node.clone();
                add(
                    found,
                    at,
                    Breach::NotPublished {
                        node,
                        stream,
                        version,
                    },
                );
            }
        }
    }

    fn check_content(
        &mut self,
        at: Tick,
        node: &InstanceId,
        held: &SnapshotFacts,
        found: &mut Vec<Violation>,
    ) {
        let (catalogue, instances) = (held.catalogue.settled(), held.instances.settled());
        let expected = self.content.entry((catalogue, instances));
        if *expected.or_insert(held.content) != held.content {
            let node = node.clone();
            add(
                found,
                at,
                Breach::InPart {
                    node,
                    catalogue,
                    instances,
                },
            );
        }
    }
}
