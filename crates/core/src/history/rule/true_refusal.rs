//! Checks that a request refused as not run was not run.

use std::collections::HashMap;
use std::collections::HashSet;

use super::Rule;
use super::add;
use crate::InstanceId;
use crate::Tick;
use crate::history::Breach;
use crate::history::Event;
use crate::history::RequestId;
use crate::history::Violation;

/// Requests refused and requests run. A run after the refusal is as wrong as
/// one before it.
#[derive(Debug, Default)]
pub(super) struct TrueRefusal {
    refused: HashSet<RequestId>,
    ran: HashMap<RequestId, InstanceId>,
}

impl Rule for TrueRefusal {
    fn observe(&mut self, at: Tick, event: &Event, found: &mut Vec<Violation>) {
        match event {
            Event::RefusedNotRun { request } => {
                self.refused.insert(*request);
                if let Some(target) = self.ran.get(request) {
                    add(found, at, ran_though_refused(*request, target));
                }
            }
            Event::RunStarted { request, target } => {
                self.ran.insert(*request, target.clone());
                if self.refused.contains(request) {
                    add(found, at, ran_though_refused(*request, target));
                }
            }
            _ => {}
        }
    }
}

fn ran_though_refused(request: RequestId, target: &InstanceId) -> Breach {
    Breach::RanThoughRefused {
        request,
        target: target.clone(),
    }
}
