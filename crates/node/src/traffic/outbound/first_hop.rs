//! The first hop of a request: where it goes, and whether it goes again.

use std::time::Duration;

use http::Request;
use http::Response;
use rand::Rng;
use sassafrasspool_core::BoundRoute;
use sassafrasspool_core::BoundService;
use sassafrasspool_core::Content;
use sassafrasspool_core::Deadline;
use sassafrasspool_core::EndpointKey;
use sassafrasspool_core::Failure;
use sassafrasspool_core::Hop;
use sassafrasspool_core::Picked;
use sassafrasspool_core::Reason;
use sassafrasspool_core::Refusal;
use sassafrasspool_core::RetryBudget;
use sassafrasspool_core::RetryDecision;
use sassafrasspool_core::RetryState;
use sassafrasspool_core::Route;
use sassafrasspool_core::ServiceKey;
use sassafrasspool_core::Step;
use sassafrasspool_core::Tick;
use sassafrasspool_wire::header as names;

use crate::Routes;
use crate::traffic::answer::Answer;
use crate::traffic::bounds::MAX_HOPS;
use crate::traffic::counters::count_retry;
use crate::traffic::head;
use crate::traffic::keyed::Keyed;
use crate::traffic::missed::Missed;
use crate::traffic::outbound::access_log::Facts;
use crate::traffic::outbound::access_log::Trail;
use crate::traffic::outbound::attempt::Attempt;
use crate::traffic::outbound::caller_side::Side;
use crate::traffic::outbound::departed::departed;
use crate::traffic::payload::Payload;
use crate::traffic::worker::Worker;

/// What a request's way from its caller and the answer's way back take: up to
/// 8 ms each at the deployments of today, and the time to read and write them.
const WAY_OF_CALLER: Duration = Duration::from_millis(20);

/// A request that is routed.
#[derive(Debug)]
pub(in crate::traffic) struct FirstHop<'a> {
    worker: &'a Worker,
    routes: &'a Routes,
    route: &'a BoundRoute,
    to: ServiceKey,
    service: &'a BoundService,
    budget: &'a RetryBudget,
    keyed: Option<Keyed>,
    begun: Tick,
    deadline: Deadline,
    /// Until when the answer is worth most to the caller.
    aim: Option<Tick>,
    hop: u32,
    /// What the request asks for, once its body was taken in as far as it is held.
    content: Option<Content>,
}

impl<'a> FirstHop<'a> {
    /// Routes a request.
    ///
    /// # Errors
    ///
    /// Refuses it if no route takes its path or it has passed too many nodes.
    pub(in crate::traffic) fn new<B>(
        worker: &'a Worker,
        side: Side,
        routes: &'a Routes,
        req: &Request<B>,
    ) -> Result<FirstHop<'a>, Refusal> {
        let snapshot = &routes.view.snapshot;
        let no_route = || refuse(Reason::NoRoute);
        let route = snapshot.match_route(head::host(req), req.uri().path());
        let route = route.ok_or_else(no_route)?;
        let to = route.choose_service(rand::rng().next_u64());
        let service = snapshot.service(to).ok_or_else(no_route)?;
        let budget = routes.picker.budget(to);
        let keyed = match route.route.idempotent {
            true => None,
            false => Keyed::of(&service.entry.name, req)?,
        };
        let asked = head::number(req.headers(), &names::REQUEST_TIMEOUT_MS);
        let asked = asked.map(Duration::from_millis);
        let arrived = now(worker);
        let mut first = FirstHop {
            worker,
            routes,
            route,
            to,
            service,
            budget: budget.ok_or_else(no_route)?,
            keyed,
            begun: arrived,
            deadline: Deadline::within(arrived, timeout(&route.route, service, asked)),
            aim: aim(worker, &route.route, arrived, asked),
            hop: 1,
            content: None,
        };
        if side == Side::Egress {
            first.belong_to_parent(req);
        }
        match first.hop > MAX_HOPS {
            true => Err(refuse(Reason::TooManyHops)),
            false => Ok(first),
        }
    }

    /// When the request is given up.
    pub(in crate::traffic) fn deadline(&self) -> Deadline {
        self.deadline
    }

    /// The same for a request that asks for that.
    pub(in crate::traffic) fn asking(mut self, content: Content) -> FirstHop<'a> {
        self.content = Some(content);
        self
    }

    /// Goes on where the request that the own target runs has come to.
    fn belong_to_parent<B>(&mut self, req: &Request<B>) {
        if let Some(parent) = self.worker.hub.parents.of(req.headers()) {
            self.deadline = self.deadline.min(parent.deadline);
            self.hop = parent.hop + 1;
        }
    }

    /// Tries until there is an answer or a failure that stands.
    ///
    /// # Errors
    ///
    /// Says what is known of the request if there is no answer.
    pub(in crate::traffic) async fn run(
        &self,
        req: Request<Payload>,
    ) -> Result<Response<Answer>, Failure> {
        let mut trail = Trail::new(self, &req);
        let ended = self.run_traced(req, &mut trail).await;
        let took = now(self.worker).since(self.begun);
        let class = self.route.route.class;
        self.worker.hub.stages.whole.took(class, took);
        trail.end(&ended);
        ended
    }

    async fn run_traced(
        &self,
        mut req: Request<Payload>,
        trail: &mut Trail<'_>,
    ) -> Result<Response<Answer>, Failure> {
        let mut tries = self.tries();
        let mut avoid = Vec::new();
        let mut last: Option<Failure> = None;
        loop {
            avoid.extend(self.departed());
            let picked = match self.pick(&avoid) {
                Ok(picked) => picked,
                // What the last endpoint said tells more than that there is
                // no other one.
                Err(refusal) => return Err(tries.final_failure(last.unwrap_or(refusal.into()))),
            };
            avoid.push(picked.endpoint());
            trail.pick(&picked);
            let again = repeat(&req);
            let at = now(self.worker);
            let homes = &self.route.route.homes;
            let others = self
                .routes
                .picker
                .has_alternative(self.to, homes, at, &avoid);
            let settles = again.is_none() || !others || !tries.may_try_more_nodes(at);
            let missed = match self.attempt(picked, req, settles).await {
                Ok(res) => return Ok(res),
                Err(missed) => missed,
            };
            trail.miss(&missed.failure);
            let failure = match tries.on_failure(now(self.worker), missed.failure, self.budget) {
                RetryDecision::Retry => missed.failure,
                RetryDecision::Stop(failure) => return Err(failure),
            };
            req = match again.or(missed.unsent.map(|req| *req)) {
                Some(same) => same,
                // A part of the body is used up.
                None => return Err(tries.final_failure(failure)),
            };
            count_retry(&failure);
            last = Some(failure);
        }
    }

    /// What is known of the request and of what it is routed by.
    pub(in crate::traffic) fn facts(&self) -> Facts<'_> {
        Facts {
            worker: self.worker,
            routes: self.routes,
            route: &self.route.route,
            deadline: self.deadline,
            aim: self.aim,
            content: self.content.as_ref(),
        }
    }

    fn tries(&self) -> RetryState {
        // A chain of nineteen calls in which each hop runs twice what may run
        // twice would make half a million runs out of one. Calls that a target
        // makes for a request are therefore only tried again on the proof that
        // nothing ran, which multiplies nothing.
        let idempotent = self.route.route.idempotent && self.hop == 1;
        let mut limits = self.service.entry.limits.retry;
        limits.attempts = self.route.route.attempts.unwrap_or(limits.attempts);
        let tries = RetryState::new(Hop::First, idempotent, &limits, self.deadline, self.budget);
        tries.with_soft_deadline(self.aim)
    }

    /// The endpoints that the list in force by now has no new work for.
    fn departed(&self) -> Vec<EndpointKey> {
        let newest = self.worker.hub.shared.routes();
        let newest = newest.as_ref().map(|routes| &routes.view.snapshot);
        newest.map_or_else(Vec::new, |newest| {
            departed(&self.routes.view.snapshot, self.service, newest)
        })
    }

    fn pick(&self, avoid: &[EndpointKey]) -> Result<Picked, Refusal> {
        // Also before a later try: the one before may have been the third under which a
        // target crashed.
        let hub = &self.worker.hub;
        hub.check_quarantine(Step::Route, self.content.as_ref())?;
        let picker = &self.routes.picker;
        let service = self.to;
        let homes = &self.route.route.homes;
        let now = now(self.worker);
        let Some(keyed) = &self.keyed else {
            return picker.pick(service, homes, now, avoid, &mut rand::rng());
        };
        // Only the owner can tell whether it ran before: there is nowhere else
        // to try.
        let owner = picker.pick_owner(service, homes, now, &keyed.key)?;
        match avoid.contains(&owner.endpoint()) {
            true => Err(refuse(Reason::NoEndpoint)),
            false => Ok(owner),
        }
    }

    async fn attempt(
        &self,
        picked: Picked,
        req: Request<Payload>,
        settles: bool,
    ) -> Result<Response<Answer>, Missed> {
        let snapshot = &self.routes.view.snapshot;
        let Some(endpoint) = snapshot.endpoint(picked.endpoint()) else {
            // The picker was built from this snapshot.
            return Err(refuse(Reason::NoEndpoint).into());
        };
        let attempt = Attempt {
            worker: self.worker,
            routes: self.routes,
            instance: &endpoint.instance,
            deadline: self.deadline,
            hop: self.hop,
            class: self.route.route.class,
            kind: &self.route.route.kind,
            aim: self.aim,
            settles,
            content: self.content.as_ref(),
        };
        attempt.run(picked, req).await
    }
}

fn now(worker: &Worker) -> Tick {
    worker.hub.shared.clock().now()
}

fn refuse(reason: Reason) -> Refusal {
    Refusal::not_run(Step::Route, reason)
}

/// How long the caller waits, at most what the route or the entry allows.
fn timeout(route: &Route, service: &BoundService, asked: Option<Duration>) -> Duration {
    let limit = route.timeout.unwrap_or(service.entry.limits.deadline);
    asked.map_or(limit, |asked| limit.min(asked))
}

/// Until when the answer is worth most, counted from the first attempt of its
/// caller.
fn aim(worker: &Worker, route: &Route, arrived: Tick, asked: Option<Duration>) -> Option<Tick> {
    let target = route.latency_target?;
    let passed = asked.map_or(Duration::ZERO, |asked| {
        worker.hub.patience.age(&route.kind, asked)
    });
    let left = target.saturating_sub(passed + WAY_OF_CALLER);
    Some(arrived + left)
}

/// The same request once more, if its body is held.
fn repeat(req: &Request<Payload>) -> Option<Request<Payload>> {
    let body = req.body().again()?;
    let mut same = Request::new(body);
    *same.method_mut() = req.method().clone();
    *same.uri_mut() = req.uri().clone();
    *same.version_mut() = req.version();
    *same.headers_mut() = req.headers().clone();
    Some(same)
}
