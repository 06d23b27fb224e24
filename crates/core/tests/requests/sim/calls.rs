//! Events of requests.

use std::time::Duration;

use rand::RngExt;
use sassafrasspool_core::AdmissionDecision;
use sassafrasspool_core::AttemptOutcome;
use sassafrasspool_core::Class;
use sassafrasspool_core::Deadline;
use sassafrasspool_core::Failure;
use sassafrasspool_core::Homes;
use sassafrasspool_core::Hop;
use sassafrasspool_core::Loss;
use sassafrasspool_core::LossCause;
use sassafrasspool_core::Outcome;
use sassafrasspool_core::Permit;
use sassafrasspool_core::Reason;
use sassafrasspool_core::Received;
use sassafrasspool_core::Refusal;
use sassafrasspool_core::Request;
use sassafrasspool_core::RetryDecision;
use sassafrasspool_core::RetryState;
use sassafrasspool_core::Step;
use sassafrasspool_core::history::Event;
use sassafrasspool_core::history::OperationId;
use sassafrasspool_core::history::RequestId;

use super::DEADLINE;
use super::ENDPOINTS;
use super::MEAN_SERVICE_US;
use super::ONE_WAY_LATENCY;
use super::Sim;
use super::Work;
use super::call::Call;
use crate::endpoint::Stage;
use crate::policy::Policy;

impl Sim {
    pub(super) fn arrive(&mut self, id: u64, class: Class) {
        let event = Event::Sent {
            request: RequestId(id),
            operation: OperationId(id),
            repeatable: false,
        };
        self.record(event);
        let caller = self.rng.random_range(0..self.callers.len());
        let deadline = Deadline::within(self.now, DEADLINE);
        let budget = self.callers[caller].1.budget(self.service).unwrap();
        let is_repeatable = self.policy == Policy::RetryUnknown;
        let retry = RetryState::new(
            Hop::First,
            is_repeatable,
            &self.limits.retry,
            deadline,
            budget,
        );
        let call = Call {
            class,
            caller,
            deadline,
            retry,
            avoid: Vec::new(),
            picked: None,
            endpoint: 0,
            incarnation: 0,
            queued: None,
            running: None,
            naive_run: false,
            ended: false,
        };
        self.calls.insert(id, call);
        self.schedule_at(deadline.tick(), Work::TimeOut(id));
        self.send(id, Refusal::not_run(Step::Route, Reason::NoEndpoint).into());
    }

    /// Sends a request to an endpoint, or ends it with `last` if none can be picked.
    pub(super) fn send(&mut self, id: u64, last: Failure) {
        let call = self.calls.get_mut(&id).unwrap();
        if self.policy == Policy::Naive {
            call.endpoint = self.rng.random_range(0..ENDPOINTS);
        } else {
            let homes = Homes::default();
            let picker = &self.callers[call.caller].1;
            match picker.pick(self.service, &homes, self.now, &call.avoid, &mut self.rng) {
                Ok(picked) => {
                    call.avoid.push(picked.endpoint());
                    let chosen = self.snapshot.endpoint(picked.endpoint()).unwrap();
                    let found = self.endpoints.iter();
                    let mut found = found.map(|e| &e.instance.id);
                    call.endpoint = found.position(|i| *i == chosen.instance.id).unwrap();
                    call.picked = Some(picked);
                }
                Err(_) => return self.end(id, last),
            }
        }
        self.schedule_after(ONE_WAY_LATENCY, Work::ReachEndpoint(id));
    }

    pub(super) fn reach_endpoint(&mut self, id: u64) {
        let call = self.calls.get_mut(&id).unwrap();
        let endpoint = &mut self.endpoints[call.endpoint];
        call.incarnation = endpoint.incarnation;
        if matches!(endpoint.stage, Stage::Down) {
            let refusal = Refusal::not_run(Step::Connect, Reason::Connect);
            return self.fail_attempt(id, refusal.into(), AttemptOutcome::NoConnection);
        }
        if self.policy == Policy::Naive {
            let busy = endpoint.running >= endpoint.instance.slots;
            if busy || matches!(endpoint.stage, Stage::Draining(_)) {
                let refusal = Refusal::not_run(Step::Admission, Reason::QueueFull);
                return self.fail_attempt(id, refusal.into(), AttemptOutcome::Shed);
            }
            endpoint.running += 1;
            call.naive_run = true;
            return self.start_run(id);
        }
        let request = Request::received(call.class, call.deadline);
        let wakes = self.wakes.clone();
        let waker = move || -> sassafrasspool_core::Waker {
            Box::new(move |verdict| wakes.lock().unwrap().push((id, verdict)))
        };
        let admission_request = request.admission_request(&self.limits);
        match endpoint
            .admission
            .request_slot(self.now, &admission_request, waker)
        {
            AdmissionDecision::Admitted(permit) => self.hand_over(id, request, permit),
            AdmissionDecision::Queued(queued) => {
                let until = queued.expires_at();
                call.queued = Some((queued, request));
                self.schedule_at(until, Work::ExpireQueued(id));
            }
            AdmissionDecision::Refused(refusal) => self.fail_refused(id, refusal),
        }
    }

    pub(super) fn handle_wakes(&mut self) {
        loop {
            let wakes = std::mem::take(&mut *self.wakes.lock().unwrap());
            if wakes.is_empty() {
                return;
            }
            for (id, verdict) in wakes {
                let queued = self.calls.get_mut(&id).and_then(|call| call.queued.take());
                let Some((_, request)) = queued else { continue };
                match verdict {
                    Ok(permit) => self.hand_over(id, request, permit),
                    Err(refusal) => self.fail_refused(id, refusal),
                }
            }
        }
    }

    pub(super) fn expire_queued(&mut self, id: u64) {
        let queued = self.calls.get_mut(&id).and_then(|call| call.queued.take());
        let Some((queued, request)) = queued else {
            return;
        };
        match queued.expire(self.now) {
            Some(refusal) => self.fail_refused(id, refusal),
            // Its waker was called, and that event is handled right afterwards.
            None => panic!("the wake of a queued request was not handled: {request:?}"),
        }
    }

    pub(super) fn fail_refused(&mut self, id: u64, refusal: Refusal) {
        let verdict = match refusal.reason() {
            Reason::Draining => AttemptOutcome::Draining,
            _ => AttemptOutcome::Shed,
        };
        self.fail_attempt(id, refusal.into(), verdict);
    }

    pub(super) fn hand_over(&mut self, id: u64, request: Request<Received>, permit: Permit) {
        let call = self.calls.get_mut(&id).unwrap();
        let gate = match &self.endpoints[call.endpoint].stage {
            Stage::Up(drain) => Some(drain.gate()),
            Stage::Draining(drain) => Some(drain.gate()),
            Stage::Down => None,
        };
        let pass = match gate.map(|gate| gate.enter()) {
            Some(Ok(pass)) => pass,
            // Under this policy, a request is admitted through a gate that no drain closes.
            Some(Err(_)) if self.policy == Policy::AdmitWhileDraining => {
                sassafrasspool_core::Gate::open().enter().unwrap()
            }
            Some(Err(refusal)) => return self.fail_refused(id, refusal),
            None => return self.fail_refused(id, request.refuse(Step::Connect, Reason::Connect)),
        };
        match request.admit(permit).hand_over(self.now) {
            Ok(request) => {
                call.running = Some((request, pass));
                self.start_run(id);
            }
            Err(refusal) => self.fail_refused(id, refusal),
        }
    }

    pub(super) fn start_run(&mut self, id: u64) {
        let endpoint = self.calls[&id].endpoint;
        self.tally.runs[endpoint] += 1;
        let target = self.endpoints[endpoint].instance.id.clone();
        let request = RequestId(id);
        self.record(Event::RunStarted { request, target });
        let slowness = self.endpoints[endpoint].slowness;
        let took = self
            .rng
            .random_range(MEAN_SERVICE_US / 2..MEAN_SERVICE_US * 3 / 2)
            * slowness;
        self.schedule_after(Duration::from_micros(took), Work::FinishRun(id));
    }

    pub(super) fn finish_run(&mut self, id: u64) {
        let call = self.calls.get_mut(&id).unwrap();
        let endpoint = &mut self.endpoints[call.endpoint];
        let crashed = endpoint.incarnation != call.incarnation;
        let running = call.running.take();
        if call.naive_run && !crashed {
            endpoint.running -= 1;
        }
        if crashed || (running.is_none() && !call.naive_run) {
            return;
        }
        if let Some((request, pass)) = running {
            request.begin_answer().finish(self.now);
            drop(pass);
        }
        let target = endpoint.instance.id.clone();
        let load = endpoint.load();
        if let Some(picked) = call.picked.take() {
            let took = self.now.since(picked.picked_at());
            picked.record_load(self.now, load);
            picked.finish(self.now, AttemptOutcome::Answered(took));
        }
        let ended = std::mem::replace(&mut call.ended, true);
        let class = call.class;
        let request = RequestId(id);
        self.record(Event::RunFinished { request, target });
        if !ended {
            self.tally.by_class[class.index()].served += 1;
            self.record(Event::Answered {
                request,
                answers: request,
                whole: true,
            });
        }
    }

    /// The deadline passes. A running request continues, but its caller has timed out.
    pub(super) fn time_out(&mut self, id: u64) {
        let call = self.calls.get_mut(&id).unwrap();
        if call.ended {
            return;
        }
        if let Some(picked) = call.picked.take() {
            picked.finish(self.now, AttemptOutcome::Failed);
        }
        // A request that is still queued was not run.
        let failure = match call.queued.take() {
            Some((queued, request)) => {
                drop(queued);
                request
                    .refuse(Step::Admission, Reason::DeadlinePassed)
                    .into()
            }
            None => Loss::new(Step::Forward, LossCause::Timeout).into(),
        };
        self.end(id, failure);
    }

    /// An attempt got no answer.
    pub(super) fn fail_attempt(&mut self, id: u64, failure: Failure, verdict: AttemptOutcome) {
        let call = self.calls.get_mut(&id).unwrap();
        if call.ended {
            return;
        }
        let Some(picked) = call.picked.take() else {
            return self.end(id, failure);
        };
        picked.finish(self.now, verdict);
        let budget = self.callers[call.caller].1.budget(self.service).unwrap();
        match call.retry.on_failure(self.now, failure, budget) {
            RetryDecision::Retry => self.send(id, failure),
            RetryDecision::Stop(failure) => self.end(id, failure),
        }
    }

    pub(super) fn end(&mut self, id: u64, failure: Failure) {
        let call = self.calls.get_mut(&id).unwrap();
        if std::mem::replace(&mut call.ended, true) {
            return;
        }
        let counts = &mut self.tally.by_class[call.class.index()];
        let request = RequestId(id);
        let outcome = match self.policy {
            Policy::UnknownAsNotRun => Outcome::NotRun,
            _ => failure.outcome(),
        };
        match outcome {
            Outcome::NotRun if self.policy == Policy::DropRefusals && id.is_multiple_of(2) => {}
            Outcome::NotRun => {
                counts.refused += 1;
                self.record(Event::RefusedNotRun { request });
            }
            Outcome::Unknown => {
                counts.unknown += 1;
                self.record(Event::Unknown { request });
            }
        }
    }
}
