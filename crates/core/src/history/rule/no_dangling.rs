//! Checks that all references within a snapshot resolve.

use super::Rule;
use super::add;
use crate::Tick;
use crate::history::Breach;
use crate::history::Event;
use crate::history::Violation;

/// Has no state: each snapshot is checked by itself.
#[derive(Debug)]
pub(super) struct NoDangling;

impl Rule for NoDangling {
    fn observe(&mut self, at: Tick, event: &Event, found: &mut Vec<Violation>) {
        let Event::InForce { node, held } = event else {
            return;
        };
        for what in &held.dangling {
            let node = node.clone();
            let what = what.clone();
            add(found, at, Breach::Dangles { node, what });
        }
    }
}
