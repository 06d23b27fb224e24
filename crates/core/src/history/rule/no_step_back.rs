//! Checks that no node returns to an older version.

use std::collections::HashMap;

use super::Rule;
use super::add;
use crate::InstanceId;
use crate::Stream;
use crate::Tick;
use crate::Version;
use crate::history::Breach;
use crate::history::Event;
use crate::history::RequestId;
use crate::history::Violation;

/// The newest version of each stream on each node. It is kept across
/// restarts: for callers, a new process with the same name is the same node.
#[derive(Debug, Default)]
pub(super) struct NoStepBack {
    newest: HashMap<(InstanceId, Stream), Version>,
}

impl Rule for NoStepBack {
    fn observe(&mut self, at: Tick, event: &Event, found: &mut Vec<Violation>) {
        match event {
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
        if is_step_back(held, applied) {
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
            *newest = applied;
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
        if is_step_back(held, pinned) {
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

fn is_step_back(held: Version, next: Version) -> bool {
    let same = next.revision() == held.revision();
    next.revision() < held.revision() || (same && next.digest() != held.digest())
}
