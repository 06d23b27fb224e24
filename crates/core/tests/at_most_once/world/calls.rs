//! Requests, from the caller to the answer.

use sassafrasspool_core::Attempt;
use sassafrasspool_core::AttemptDecision;
use sassafrasspool_core::Homes;
use sassafrasspool_core::Loss;
use sassafrasspool_core::LossCause;
use sassafrasspool_core::Outcome;
use sassafrasspool_core::Refusal;
use sassafrasspool_core::RunPermit;
use sassafrasspool_core::ServiceName;
use sassafrasspool_core::StoredAnswer;
use sassafrasspool_core::history::Event;
use sassafrasspool_core::history::OperationId;
use sassafrasspool_core::history::RequestId;

use super::NODES;
use super::Open;
use super::Operation;
use super::Sent;
use super::World;
use super::setup::id;
use super::setup::key;
use super::setup::routing;
use crate::fault::Fault;
use crate::node::HOLD;
use crate::node::LEASE;

impl World {
    pub(super) fn start_operation(&mut self, hop: usize) {
        let operation = OperationId(self.operations.len() as u64);
        self.operations.push(Operation {
            first_at: self.now,
            ended: false,
        });
        let attempt = match operation.0 % 4 {
            0 => Attempt::MayRepeat,
            _ => Attempt::First,
        };
        self.send(operation, attempt, hop);
    }

    pub(super) fn repeat(&mut self, op: usize, hop: usize) {
        let newest = self.operations.len();
        let Some(op) = newest.checked_sub(1 + op % newest.clamp(1, 8)) else {
            return;
        };
        let pending = &self.operations[op];
        if pending.ended || self.now.since(pending.first_at) > HOLD {
            return;
        }
        let attempt = match self.fault {
            Fault::EveryAttemptFirst => Attempt::First,
            _ => Attempt::MayRepeat,
        };
        self.send(OperationId(op as u64), attempt, hop);
    }

    pub(super) fn send(&mut self, operation: OperationId, attempt: Attempt, hop: usize) {
        let request = RequestId(self.requests.len() as u64);
        self.requests.insert(request, operation);
        if self.ran.contains(&operation) {
            self.sent_after_run.insert(request);
        }
        let event = Event::Sent {
            request,
            operation,
            repeatable: false,
        };
        self.history.record(self.now, event);
        if self.nodes[hop].paused {
            return self.record_unknown(request);
        }
        match self.owner(hop, operation) {
            Ok(owner) => self.sent.push(Sent {
                request,
                attempt,
                hop,
                owner,
                at: self.now,
            }),
            Err(refusal) => self.refuse(request, attempt, refusal),
        }
    }

    /// The owner of an operation's key, as the first hop chooses it.
    pub(super) fn owner(&mut self, hop: usize, operation: OperationId) -> Result<usize, Refusal> {
        let list = &self.nodes[hop].known.list;
        let revision = list.version().revision();
        let routing = self
            .routing
            .entry(revision)
            .or_insert_with(|| routing(list));
        let service = ServiceName::new("adjuster-desk").unwrap();
        let (service, _) = routing.snapshot.find_service(&service).unwrap();
        let key = key(operation);
        let picked = routing
            .picker
            .pick_owner(service, &Homes::default(), self.now, &key)?;
        let chosen = routing.snapshot.endpoint(picked.endpoint()).unwrap();
        Ok((0..NODES).find(|i| id(*i) == chosen.instance.id).unwrap())
    }

    pub(super) fn deliver(&mut self, i: usize) {
        let Some(i) = i.checked_rem(self.sent.len()) else {
            return;
        };
        if !self.can_reach(self.sent[i].hop, self.sent[i].owner) {
            return;
        }
        let sent = self.sent.swap_remove(i);
        if self.now.since(sent.at) > LEASE {
            return self.record_unknown(sent.request);
        }
        let key = key(self.requests[&sent.request]);
        let window = &self.nodes[sent.owner].window;
        match window.begin_attempt(self.now, key, sent.attempt) {
            AttemptDecision::Run(permit) => self.open.push(Open {
                sent,
                permit,
                handed_over: false,
            }),
            AttemptDecision::Answer(_) => self.record_answer(sent.request),
            AttemptDecision::Refuse(refusal) => self.refuse(sent.request, sent.attempt, refusal),
        }
    }

    pub(super) fn hand_over(&mut self, i: usize) {
        let Some(i) = i.checked_rem(self.open.len()) else {
            return;
        };
        let open = &self.open[i];
        if open.handed_over || self.nodes[open.sent.owner].paused {
            return;
        }
        let mut open = self.open.swap_remove(i);
        match open.permit.recheck(self.now) {
            Ok(permit) => open.permit = permit,
            Err(refusal) => return self.refuse(open.sent.request, open.sent.attempt, refusal),
        }
        open.handed_over = true;
        let request = open.sent.request;
        let target = self.nodes[open.sent.owner].id.clone();
        self.ran.insert(self.requests[&request]);
        self.runs += 1;
        self.history
            .record(self.now, Event::RunStarted { request, target });
        self.open.push(open);
    }

    pub(super) fn answer(&mut self, i: usize, arrives: bool) {
        let Some(i) = i.checked_rem(self.open.len()) else {
            return;
        };
        let open = &self.open[i];
        if !open.handed_over || self.nodes[open.sent.owner].paused {
            return;
        }
        let open = self.open.swap_remove(i);
        if open.sent.request.0.is_multiple_of(3) {
            // The target broke off the answer: the outcome is unknown.
            self.mark_unknown(open.permit);
            return self.record_unknown(open.sent.request);
        }
        let answer = StoredAnswer {
            status: 200,
            headers: Vec::new(),
            body: Vec::new(),
        };
        open.permit.complete(self.now, answer);
        if arrives && self.can_reach(open.sent.hop, open.sent.owner) {
            self.record_answer(open.sent.request);
        } else {
            self.record_unknown(open.sent.request);
        }
    }

    pub(super) fn mark_unknown(&self, permit: RunPermit) {
        let loss = Loss::new(
            sassafrasspool_core::Step::Forward,
            LossCause::ConnectionLost,
        );
        assert_eq!(loss.outcome(), Outcome::Unknown);
        match self.fault {
            Fault::UnknownOutcomeForgotten => {
                let step = sassafrasspool_core::Step::Forward;
                let reason = sassafrasspool_core::Reason::Connect;
                let _ = permit.release(Refusal::not_run(step, reason));
            }
            _ => permit.mark_unknown(self.now),
        }
    }
}
