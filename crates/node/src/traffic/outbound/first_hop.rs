//! The first hop of a request: routing, the choice of an endpoint, and retries.

use std::time::Duration;

use http::HeaderValue;
use http::Request;
use http::Response;
use http_body::Body;
use rand::Rng;
use sassafrasspool_core::BoundRoute;
use sassafrasspool_core::BoundService;
use sassafrasspool_core::CallerTrace;
use sassafrasspool_core::Content;
use sassafrasspool_core::Deadline;
use sassafrasspool_core::EndpointKey;
use sassafrasspool_core::Failure;
use sassafrasspool_core::Hop;
use sassafrasspool_core::Instance;
use sassafrasspool_core::Outcome;
use sassafrasspool_core::Picked;
use sassafrasspool_core::Reason;
use sassafrasspool_core::Refusal;
use sassafrasspool_core::RetryBudget;
use sassafrasspool_core::RetryDecision;
use sassafrasspool_core::RetryState;
use sassafrasspool_core::ReturnStatus;
use sassafrasspool_core::Route;
use sassafrasspool_core::ServiceKey;
use sassafrasspool_core::Step;
use sassafrasspool_core::Tick;
use sassafrasspool_wire::header as names;
use sassafrasspool_wire::header::REQUEST_ID;

use crate::Routes;
use crate::traffic::answer_body::AnswerBody;
use crate::traffic::bounds::MAX_HOPS;
use crate::traffic::counters::count_retry;
use crate::traffic::failed_attempt::FailedAttempt;
use crate::traffic::failure_response;
use crate::traffic::head;
use crate::traffic::keyed_attempt::KeyedAttempt;
use crate::traffic::outbound::access_log::RequestContext;
use crate::traffic::outbound::access_log::RequestLogger;
use crate::traffic::outbound::attempt::Attempt;
use crate::traffic::outbound::caller_side::CallerPort;
use crate::traffic::outbound::departed::departed_endpoints;
use crate::traffic::outbound::returns::Returns;
use crate::traffic::payload::Payload;
use crate::traffic::worker::Worker;

/// Time that a request takes from its caller to this node, and the answer back: up to 8 ms
/// each in current deployments, plus the time to read and write them.
const CALLER_ROUND_TRIP: Duration = Duration::from_millis(20);

/// A routed request on its caller's node.
#[derive(Debug)]
pub(in crate::traffic) struct FirstHop<'a> {
    worker: &'a Worker,
    routes: &'a Routes,
    route: &'a BoundRoute,
    service_key: ServiceKey,
    service: &'a BoundService,
    budget: &'a RetryBudget,
    keyed: Option<KeyedAttempt>,
    arrived: Tick,
    deadline: Deadline,
    /// Soft deadline: the moment until which the answer is worth most to the caller.
    soft_deadline: Option<Tick>,
    hop: u32,
    /// Fingerprint of the request's content, set after the body was buffered as far as it is.
    content: Option<Content>,
    port: CallerPort,
    /// The timeout that the caller sent.
    caller_timeout: Option<Duration>,
    /// Whether the timeout that the caller sent shows that this is a retry.
    is_retry: bool,
    /// Whether the caller returns after a refusal, set with the content.
    return_status: ReturnStatus,
}

impl<'a> FirstHop<'a> {
    /// Routes a request.
    ///
    /// # Errors
    ///
    /// Refuses it if no route matches its path, it has passed too many nodes, or its
    /// request key is invalid.
    pub(in crate::traffic) fn new<B>(
        worker: &'a Worker,
        port: CallerPort,
        routes: &'a Routes,
        req: &Request<B>,
    ) -> Result<FirstHop<'a>, Refusal> {
        let snapshot = &routes.view.snapshot;
        let no_route = || refuse(Reason::NoRoute);
        let route = snapshot.match_route(head::host(req), req.uri().path());
        let route = route.ok_or_else(no_route)?;
        let service_key = route.choose_service(rand::rng().next_u64());
        let service = snapshot.service(service_key).ok_or_else(no_route)?;
        let budget = routes.picker.budget(service_key);
        let keyed = match route.route.idempotent {
            true => None,
            false => KeyedAttempt::from_request(&service.entry.name, req)?,
        };
        let caller_timeout = head::parse_number(req.headers(), &names::REQUEST_TIMEOUT_MS);
        let caller_timeout = caller_timeout.map(Duration::from_millis);
        let arrived = now(worker);
        let elapsed = match caller_timeout {
            Some(timeout)
                if route.route.latency_target.is_some() || returns(worker, port).is_some() =>
            {
                let timeouts = &worker.hub.kind_timeouts;
                timeouts.record_and_infer_elapsed(&route.route.kind, timeout)
            }
            _ => Duration::ZERO,
        };
        let mut first = FirstHop {
            worker,
            routes,
            route,
            service_key,
            service,
            budget: budget.ok_or_else(no_route)?,
            keyed,
            arrived,
            deadline: Deadline::within(arrived, timeout(&route.route, service, caller_timeout)),
            soft_deadline: soft_deadline(&route.route, arrived, elapsed),
            hop: 1,
            content: None,
            port,
            caller_timeout,
            is_retry: !elapsed.is_zero(),
            return_status: ReturnStatus::Untracked,
        };
        if port == CallerPort::Egress {
            first.inherit_from_parent(req);
        }
        match first.hop > MAX_HOPS {
            true => Err(refuse(Reason::TooManyHops)),
            false => Ok(first),
        }
    }

    /// When the request times out.
    pub(in crate::traffic) fn deadline(&self) -> Deadline {
        self.deadline
    }

    /// The same with the fingerprint of the request's content, by which it is determined
    /// whether the caller returns after a refusal.
    pub(in crate::traffic) fn with_content(mut self, content: Content) -> FirstHop<'a> {
        self.content = Some(content);
        if let Some(returns) = returns(self.worker, self.port) {
            let kind = &self.route.route.kind;
            self.return_status = match self.caller_trace() {
                Some(caller) => returns.redeem(now(self.worker), kind, caller, self.is_retry),
                None => ReturnStatus::Newcomer,
            };
        }
        self
    }

    /// What this request and its repeats have in common, if the caller sent a timeout.
    fn caller_trace(&self) -> Option<CallerTrace> {
        Some(CallerTrace {
            content: self.content?,
            deadline: Deadline::within(self.arrived, self.caller_timeout?),
            timeout: self.caller_timeout?,
        })
    }

    /// Records when the caller was told to return, if the final failure that it receives is
    /// an overload. A returning caller isn't expected to return once more.
    pub(in crate::traffic) fn record_final_failure(&self, failure: &Failure) {
        let Failure::Refused(refusal) = failure else {
            return;
        };
        let is_overload = refusal.outcome() == Outcome::NotRun && refusal.reason().is_overload();
        if !is_overload || self.return_status == ReturnStatus::Returning {
            return;
        }
        let returns = returns(self.worker, self.port);
        if let (Some(returns), Some(caller)) = (returns, self.caller_trace()) {
            let dialect = self.worker.hub.shared.dialect();
            let after = failure_response::sent_retry_after(refusal, dialect);
            returns.promise(now(self.worker), &self.route.route.kind, caller, after);
        }
    }

    /// Bounds the deadline by that of the request for which the local target makes this
    /// call, and continues its hop count.
    fn inherit_from_parent<B>(&mut self, req: &Request<B>) {
        if let Some(parent) = self.worker.hub.parents.find_parent(req.headers()) {
            self.deadline = self.deadline.min(parent.deadline);
            self.hop = parent.hop + 1;
        }
    }

    /// Attempts the request until there is an answer or a final failure.
    ///
    /// # Errors
    ///
    /// Returns what is known of the request if there is no answer.
    pub(in crate::traffic) async fn run(
        &self,
        req: Request<Payload>,
    ) -> Result<Response<AnswerBody>, Failure> {
        let mut logger = RequestLogger::new(self, &req);
        let id = req.headers().get(REQUEST_ID).cloned();
        let ended = self.run_attempts(req, &mut logger).await;
        let ended = ended.map(|res| res.map(|body| self.limit_large(body, id.as_ref())));
        let took = now(self.worker).since(self.arrived);
        let class = self.route.route.class;
        self.worker.hub.stages.total.record(class, took);
        logger.log_end(&ended);
        ended
    }

    /// Whether the answer is sent to a caller outside of the instance, and not to its target.
    fn leaves_instance(&self) -> bool {
        self.port == CallerPort::Ingress
    }

    /// Sends a large answer of another node as this node's link grants it.
    fn limit_large(&self, body: AnswerBody, id: Option<&HeaderValue>) -> AnswerBody {
        let hub = &self.worker.hub;
        let link = hub.shared.link();
        let is_large = self.route.route.large_answers && !body.is_limited();
        let link = link.filter(|_| is_large && self.leaves_instance());
        let Some(link) = link else {
            return body;
        };
        let kind = &self.route.route.kind;
        let transfer = link.begin(
            now(self.worker),
            kind,
            body.size_hint().exact(),
            self.soft_deadline,
            self.deadline.tick(),
        );
        body.limited(hub.link_share(transfer, id, kind.clone(), self.deadline))
    }

    async fn run_attempts(
        &self,
        mut req: Request<Payload>,
        logger: &mut RequestLogger<'_>,
    ) -> Result<Response<AnswerBody>, Failure> {
        let mut retry = self.retry_state();
        let mut avoid = Vec::new();
        let mut last: Option<Failure> = None;
        loop {
            avoid.extend(self.departed_endpoints());
            let picked = match self.pick(&avoid) {
                Ok(picked) => picked,
                // The failure of the last endpoint is more specific than the absence of
                // another one.
                Err(refusal) => return Err(retry.final_failure(last.unwrap_or(refusal.into()))),
            };
            avoid.push(picked.endpoint());
            logger.record_pick(&picked);
            let copy = try_clone(&req);
            let at = now(self.worker);
            let homes = &self.route.route.homes;
            let picker = &self.routes.picker;
            let has_other = picker.has_alternative(self.service_key, homes, at, &avoid);
            let last_resort = copy.is_none() || !has_other || !retry.may_try_more_nodes(at);
            let failed = match self.attempt(picked, req, last_resort).await {
                Ok(res) => return Ok(res),
                Err(failed) => failed,
            };
            logger.log_failed_attempt(&failed.failure);
            let failure = match retry.on_failure(now(self.worker), failed.failure, self.budget) {
                RetryDecision::Retry => failed.failure,
                RetryDecision::Stop(failure) => return Err(failure),
            };
            req = match copy.or(failed.unsent.map(|req| *req)) {
                Some(req) => req,
                // A part of the body was consumed.
                None => return Err(retry.final_failure(failure)),
            };
            count_retry(&failure);
            last = Some(failure);
        }
    }

    /// The inputs that the request is routed by.
    pub(in crate::traffic) fn context(&self) -> RequestContext<'_> {
        RequestContext {
            worker: self.worker,
            routes: self.routes,
            route: &self.route.route,
            deadline: self.deadline,
            soft_deadline: self.soft_deadline,
            content: self.content.as_ref(),
        }
    }

    fn retry_state(&self) -> RetryState {
        // In a chain of nineteen calls, running idempotent requests twice at each hop would
        // turn one run into half a million. Calls that a target makes for a request are
        // therefore retried only if it is proved that nothing ran, which doesn't multiply
        // runs.
        let idempotent = self.route.route.idempotent && self.hop == 1;
        let mut limits = self.service.entry.limits.retry;
        limits.attempts = self.route.route.attempts.unwrap_or(limits.attempts);
        let retry = RetryState::new(Hop::First, idempotent, &limits, self.deadline, self.budget);
        retry
            .with_soft_deadline(self.soft_deadline)
            .with_return_status(self.return_status)
    }

    /// The endpoints that accept no new work according to the list in force now.
    fn departed_endpoints(&self) -> Vec<EndpointKey> {
        let newest = self.worker.hub.shared.routes();
        let newest = newest.as_ref().map(|routes| &routes.view.snapshot);
        newest.map_or_else(Vec::new, |newest| {
            departed_endpoints(&self.routes.view.snapshot, self.service, newest)
        })
    }

    fn pick(&self, avoid: &[EndpointKey]) -> Result<Picked, Refusal> {
        // Also checked before a retry: the attempt before may have been the third under
        // which a target crashed.
        let hub = &self.worker.hub;
        hub.check_quarantine(Step::Route, self.content.as_ref())?;
        let picker = &self.routes.picker;
        let service = self.service_key;
        let homes = &self.route.route.homes;
        let now = now(self.worker);
        let Some(keyed) = &self.keyed else {
            let rng = &mut rand::rng();
            return match self.route.route.large_answers {
                true => {
                    let soft = self.route.route.latency_target;
                    picker.pick_large(service, homes, now, avoid, soft, rng)
                }
                false => picker.pick(service, homes, now, avoid, rng),
            };
        };
        // Only the owner of the key knows whether the request ran before, so no other
        // endpoint is tried.
        let owner = picker.pick_owner(service, homes, now, &keyed.key)?;
        match avoid.contains(&owner.endpoint()) {
            true => Err(refuse(Reason::NoEndpoint)),
            false => Ok(owner),
        }
    }

    /// Whether a large answer of the instance would cross the border of the failure domain.
    ///
    /// Bytes between failure domains are expensive, and a late answer isn't worth them: the
    /// instance then only accepts the request if its answer can be in time.
    fn crosses_with_large(&self, instance: &Instance) -> bool {
        self.route.route.large_answers && instance.domain != self.worker.hub.domain
    }

    async fn attempt(
        &self,
        picked: Picked,
        req: Request<Payload>,
        last_resort: bool,
    ) -> Result<Response<AnswerBody>, FailedAttempt> {
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
            soft_deadline: self.soft_deadline,
            last_resort: last_resort && !self.crosses_with_large(&endpoint.instance),
            returning: self.return_status == ReturnStatus::Returning,
            content: self.content.as_ref(),
            large_answer: self.route.route.large_answers,
            leaves_instance: self.leaves_instance(),
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

/// The timeout that the caller sent, bounded by that of the route or else of the
/// catalogue entry.
fn timeout(route: &Route, service: &BoundService, caller_timeout: Option<Duration>) -> Duration {
    let limit = route.timeout.unwrap_or(service.entry.limits.deadline);
    caller_timeout.map_or(limit, |timeout| limit.min(timeout))
}

/// The promises to refused callers, if the node has the feature. Only callers from outside
/// are told to return.
fn returns(worker: &Worker, port: CallerPort) -> Option<&Returns> {
    let returns = worker.hub.returns.as_ref();
    returns.filter(|_| port == CallerPort::Ingress)
}

/// The soft deadline, counted from the first attempt of the caller, which was `elapsed` ago.
fn soft_deadline(route: &Route, arrived: Tick, elapsed: Duration) -> Option<Tick> {
    let target = route.latency_target?;
    let left = target.saturating_sub(elapsed + CALLER_ROUND_TRIP);
    Some(arrived + left)
}

/// A copy of the request, if its body is buffered.
fn try_clone(req: &Request<Payload>) -> Option<Request<Payload>> {
    let body = req.body().try_clone()?;
    let mut copy = Request::new(body);
    *copy.method_mut() = req.method().clone();
    *copy.uri_mut() = req.uri().clone();
    *copy.version_mut() = req.version();
    *copy.headers_mut() = req.headers().clone();
    Some(copy)
}
