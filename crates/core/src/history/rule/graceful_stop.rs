//! Checks that a planned stop cuts no request in flight.

use std::collections::BTreeSet;
use std::collections::HashMap;

use super::Rule;
use super::add;
use crate::InstanceId;
use crate::Tick;
use crate::history::Breach;
use crate::history::Event;
use crate::history::RequestId;
use crate::history::Violation;

/// The requests that run on each target.
#[derive(Debug, Default)]
pub(super) struct GracefulStop {
    running: HashMap<InstanceId, BTreeSet<RequestId>>,
}

impl Rule for GracefulStop {
    fn observe(&mut self, at: Tick, event: &Event, found: &mut Vec<Violation>) {
        match event {
            Event::RunStarted { request, target } => {
                let running = self.running.entry(target.clone()).or_default();
                running.insert(*request);
            }
            Event::RunFinished { request, target } => {
                if let Some(running) = self.running.get_mut(target) {
                    running.remove(request);
                }
            }
            Event::Crashed { target } => {
                self.running.remove(target);
            }
            Event::DrainEnded { target, cut } => self.end_drain(at, target, *cut, found),
            _ => {}
        }
    }
}

impl GracefulStop {
    fn end_drain(&mut self, at: Tick, target: &InstanceId, cut: u64, found: &mut Vec<Violation>) {
        let target = target.clone();
        for request in self.running.remove(&target).unwrap_or_default() {
            let target = target.clone();
            add(found, at, Breach::CutByStop { target, request });
        }
        if cut > 0 {
            add(found, at, Breach::CountedCuts { target, cut });
        }
    }
}
