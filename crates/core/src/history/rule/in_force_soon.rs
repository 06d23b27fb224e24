//! Checks that a valid version is soon in force on every reachable node.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use super::Rule;
use super::add;
use crate::InstanceId;
use crate::Revision;
use crate::Stream;
use crate::Tick;
use crate::Version;
use crate::history::Breach;
use crate::history::Event;
use crate::history::Violation;

/// The versions that each node still has to put in force.
///
/// The bound counts from the latest of three times: the version was
/// published, the node was reachable again, the source was available again.
/// A newer version in force also satisfies the bound of the older ones.
#[derive(Debug)]
pub(super) struct InForceSoon {
    bound: Duration,
    source_back: Option<Tick>,
    newest: HashMap<Stream, Published>,
    nodes: BTreeMap<InstanceId, Node>,
}

#[derive(Debug, Clone, Copy)]
struct Published {
    version: Version,
    at: Tick,
}

#[derive(Debug, Default)]
struct Node {
    back: Option<Tick>,
    applied: HashMap<Stream, Revision>,
    pending: HashMap<Stream, Vec<Published>>,
}

impl InForceSoon {
    pub(super) fn new(bound: Duration) -> InForceSoon {
        InForceSoon {
            bound,
            source_back: Some(Tick::ZERO),
            newest: HashMap::new(),
            nodes: BTreeMap::new(),
        }
    }
}

impl Rule for InForceSoon {
    fn observe(&mut self, at: Tick, event: &Event, found: &mut Vec<Violation>) {
        if !is_relevant(event) {
            return;
        }
        // Overdue versions are reported before the event is processed, as it
        // may be one that excuses them.
        self.report_overdue(at, found);
        match event {
            Event::PublishedGood { stream, version } => self.publish(at, *stream, *version),
            Event::SourceLost => self.source_back = None,
            Event::SourceBack => self.source_back = Some(at),
            Event::NodeLost { node } => self.node_mut(node).back = None,
            Event::NodeBack { node } => self.node_back(at, node),
            Event::InForce { node, held } => {
                for stream in Stream::ALL {
                    self.node_mut(node)
                        .apply(stream, held.version(stream).revision().settled());
                }
            }
            _ => {}
        }
    }

    fn finish(&mut self, at: Tick, found: &mut Vec<Violation>) {
        self.report_overdue(at, found);
    }
}

impl InForceSoon {
    fn node_mut(&mut self, node: &InstanceId) -> &mut Node {
        self.nodes.entry(node.clone()).or_default()
    }

    fn publish(&mut self, at: Tick, stream: Stream, version: Version) {
        let published = Published { version, at };
        self.newest.insert(stream, published);
        for node in self.nodes.values_mut() {
            node.expect_version(stream, published);
        }
    }

    fn node_back(&mut self, at: Tick, node: &InstanceId) {
        let newest = self.newest.clone();
        let node = self.node_mut(node);
        node.back = Some(at);
        for (stream, published) in newest {
            node.expect_version(stream, published);
        }
    }

    fn report_overdue(&mut self, at: Tick, found: &mut Vec<Violation>) {
        let Some(source_back) = self.source_back else {
            return;
        };
        let bound = self.bound;
        for (name, node) in &mut self.nodes {
            let Some(back) = node.back else { continue };
            for (&stream, pending) in &mut node.pending {
                let overdue = |p: &Published| at > p.at.max(back).max(source_back) + bound;
                for late in pending.iter().filter(|p| overdue(p)) {
                    let breach = Breach::Late {
                        node: name.clone(),
                        stream,
                        version: late.version,
                    };
                    add(found, at, breach);
                }
                // Each version is reported once.
                pending.retain(|p| !overdue(p));
            }
        }
    }
}

impl Node {
    fn expect_version(&mut self, stream: Stream, published: Published) {
        let revision = published.version.revision();
        if self
            .applied
            .get(&stream)
            .is_none_or(|applied| *applied < revision)
        {
            self.pending.entry(stream).or_default().push(published);
        }
    }

    fn apply(&mut self, stream: Stream, revision: Revision) {
        self.applied.insert(stream, revision);
        if let Some(pending) = self.pending.get_mut(&stream) {
            pending.retain(|p| p.version.revision() > revision);
        }
    }
}

/// Whether an event can make a version pending, in force or excused. The
/// events of requests can't, and are nearly all of a long record.
fn is_relevant(event: &Event) -> bool {
    matches!(
        event,
        Event::PublishedGood { .. }
            | Event::SourceLost
            | Event::SourceBack
            | Event::NodeLost { .. }
            | Event::NodeBack { .. }
            | Event::InForce { .. }
    )
}
