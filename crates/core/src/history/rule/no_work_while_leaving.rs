//! Checks that a leaving target starts no new work after a bound.

use std::collections::HashMap;
use std::time::Duration;

use super::Rule;
use super::add;
use crate::InstanceId;
use crate::Tick;
use crate::history::Breach;
use crate::history::Event;
use crate::history::Violation;

/// The time at which each leaving target began to leave.
#[derive(Debug)]
pub(super) struct NoWorkWhileLeaving {
    bound: Duration,
    leaving: HashMap<InstanceId, Tick>,
}

impl NoWorkWhileLeaving {
    pub(super) fn new(bound: Duration) -> NoWorkWhileLeaving {
        NoWorkWhileLeaving {
            bound,
            leaving: HashMap::new(),
        }
    }
}

impl Rule for NoWorkWhileLeaving {
    fn observe(&mut self, at: Tick, event: &Event, found: &mut Vec<Violation>) {
        match event {
            Event::DrainBegan { target } => {
                // A second stop during the first doesn't change the start time.
                self.leaving.entry(target.clone()).or_insert(at);
            }
            Event::NodeBack { node } => {
                self.leaving.remove(node);
            }
            Event::RunStarted { request, target } => {
                let Some(&began) = self.leaving.get(target) else {
                    return;
                };
                let after = at.since(began);
                if after > self.bound {
                    let breach = Breach::WorkedWhileLeaving {
                        target: target.clone(),
                        request: *request,
                        after,
                    };
                    add(found, at, breach);
                }
            }
            _ => {}
        }
    }
}
