//! Checks that a caller receives the whole answer to its own request, once.

use std::collections::BTreeMap;

use super::Rule;
use super::add;
use crate::Tick;
use crate::history::Breach;
use crate::history::Event;
use crate::history::RequestId;
use crate::history::Violation;

/// The requests sent, and whether they have ended.
#[derive(Debug, Default)]
pub(super) struct WholeAnswer {
    requests: BTreeMap<RequestId, State>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Open,
    Ended,
}

impl Rule for WholeAnswer {
    fn observe(&mut self, at: Tick, event: &Event, found: &mut Vec<Violation>) {
        match *event {
            Event::Sent { request, .. } => {
                self.requests.insert(request, State::Open);
            }
            Event::Answered {
                request,
                answers,
                whole,
            } => {
                if answers != request {
                    add(found, at, Breach::Crossed { request, answers });
                }
                if !whole {
                    add(found, at, Breach::CutShort { request });
                }
                self.end_request(at, request, found);
            }
            Event::RefusedNotRun { request }
            | Event::Unknown { request }
            | Event::CallerLeft { request } => self.end_request(at, request, found),
            _ => {}
        }
    }

    fn finish(&mut self, at: Tick, found: &mut Vec<Violation>) {
        for (&request, &state) in &self.requests {
            if state == State::Open {
                add(found, at, Breach::Lost { request });
            }
        }
    }
}

impl WholeAnswer {
    fn end_request(&mut self, at: Tick, request: RequestId, found: &mut Vec<Violation>) {
        if self.requests.insert(request, State::Ended) == Some(State::Ended) {
            add(found, at, Breach::EndedTwice { request });
        }
    }
}
