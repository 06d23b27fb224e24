//! Checks that an operation that may not be repeated runs at most once.

use std::collections::HashMap;

use super::Rule;
use super::add;
use crate::Tick;
use crate::history::Breach;
use crate::history::Event;
use crate::history::OperationId;
use crate::history::RequestId;
use crate::history::Violation;

/// The operation of each request, and the request that ran it first.
#[derive(Debug, Default)]
pub(super) struct AtMostOnce {
    non_repeatable: HashMap<RequestId, OperationId>,
    first_runs: HashMap<OperationId, RequestId>,
}

impl Rule for AtMostOnce {
    fn observe(&mut self, at: Tick, event: &Event, found: &mut Vec<Violation>) {
        match *event {
            Event::Sent {
                request,
                operation,
                repeatable: false,
            } => {
                self.non_repeatable.insert(request, operation);
            }
            Event::RunStarted { request, .. } => self.record_run(at, request, found),
            _ => {}
        }
    }
}

impl AtMostOnce {
    fn record_run(&mut self, at: Tick, again: RequestId, found: &mut Vec<Violation>) {
        let Some(&operation) = self.non_repeatable.get(&again) else {
            return;
        };
        match self.first_runs.get(&operation) {
            None => {
                self.first_runs.insert(operation, again);
            }
            Some(&first) => {
                let breach = Breach::RanAgain {
                    operation,
                    first,
                    again,
                };
                add(found, at, breach);
            }
        }
    }
}
