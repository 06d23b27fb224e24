//! Requests of callers: the first hop, which routes and may try again.

use std::time::Duration;

use http::Request;
use http::Response;
use hyper::body::Incoming;
use sassafrasspool_core::BoundRoute;
use sassafrasspool_core::BoundService;
use sassafrasspool_core::Deadline;
use sassafrasspool_core::Failure;
use sassafrasspool_core::Reason;
use sassafrasspool_core::Refusal;
use sassafrasspool_core::Step;
use sassafrasspool_wire::header as names;

use super::answer::Answer;
use super::attempt::Attempt;
use super::bounds::MAX_HOPS;
use super::choice;
use super::head;
use super::payload::Payload;
use super::refusal;
use super::worker::Worker;
use crate::View;

/// Which listener a caller came by.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Side {
    /// Callers from outside.
    Ingress,
    /// The own target.
    Egress,
}

/// Answers a request of a caller.
pub(super) async fn serve(worker: &Worker, side: Side, req: Request<Incoming>) -> Response<Answer> {
    let guard = worker.hub.shared.in_flight().enter();
    let res = match run(worker, side, req).await {
        Ok(res) => res,
        Err(failure) => refusal::respond(&failure),
    };
    for_caller(res).map(|body| body.held(guard))
}

/// Takes off what concerns nodes alone, but for the outcome.
fn for_caller(mut res: Response<Answer>) -> Response<Answer> {
    let outcome = res.headers_mut().remove(names::OUTCOME);
    head::strip_own(res.headers_mut());
    if let Some(outcome) = outcome {
        res.headers_mut().insert(names::OUTCOME, outcome);
    }
    res
}

async fn run(
    worker: &Worker,
    side: Side,
    mut req: Request<Incoming>,
) -> Result<Response<Answer>, Failure> {
    if side == Side::Ingress && worker.hub.is_leaving() {
        // The own target's calls go on: what is in flight needs them.
        return Err(refuse(Reason::Draining).into());
    }
    // INVARIANT: This is the only view that the request ever sees.
    let Some(view) = worker.hub.shared.view() else {
        return Err(refuse(Reason::NoConfiguration).into());
    };
    let Some(route) = view.snapshot.match_route(req.uri().path()) else {
        return Err(refuse(Reason::NoRoute).into());
    };
    let Some(service) = view.snapshot.service(route.service) else {
        return Err(refuse(Reason::NoRoute).into());
    };
    head::strip_own(req.headers_mut());
    let first = FirstHop::new(worker, side, &view, route, service, &req)?;
    let (parts, body) = req.into_parts();
    let Ok(body) = Payload::stream(body) else {
        return Err(refuse(Reason::TooLarge).into());
    };
    let Ok(body) = body.hold_if_small().await else {
        // The caller broke off; nobody reads this answer.
        return Err(refuse(Reason::CallerGone).into());
    };
    let mut req = Request::from_parts(parts, body);
    let uri = req.uri().clone();
    head::set_host(req.headers_mut(), &uri);
    head::strip_connection(req.headers_mut());
    first.run(req).await
}

fn refuse(reason: Reason) -> Refusal {
    Refusal::not_run(Step::Route, reason)
}

/// The first hop of one request.
#[derive(Debug)]
struct FirstHop<'a> {
    worker: &'a Worker,
    view: &'a View,
    route: &'a BoundRoute,
    service: &'a BoundService,
    deadline: Deadline,
    hop: u32,
}

impl<'a> FirstHop<'a> {
    fn new(
        worker: &'a Worker,
        side: Side,
        view: &'a View,
        route: &'a BoundRoute,
        service: &'a BoundService,
        req: &Request<Incoming>,
    ) -> Result<FirstHop<'a>, Refusal> {
        let now = worker.hub.shared.clock().now();
        let limit = service.entry.limits.deadline;
        let asked = head::number(req.headers(), &names::REQUEST_TIMEOUT_MS);
        let timeout = asked.map_or(limit, |ms| limit.min(Duration::from_millis(ms)));
        let mut deadline = Deadline::within(now, timeout);
        let mut hop = 0;
        if side == Side::Egress
            && let Some(parent) = worker.hub.parents.of(req.headers())
        {
            deadline = deadline.min(parent.deadline);
            hop = parent.hop;
        }
        if hop >= MAX_HOPS {
            return Err(refuse(Reason::TooManyHops));
        }
        Ok(FirstHop {
            worker,
            view,
            route,
            service,
            deadline,
            hop: hop + 1,
        })
    }

    async fn run(&self, mut req: Request<Payload>) -> Result<Response<Answer>, Failure> {
        let mut tried = Vec::new();
        let mut last = Failure::from(refuse(Reason::NoEndpoint));
        loop {
            let again = repeat(&req);
            let Some(instance) = choice::pick(self.worker, self.view, self.service, &tried) else {
                return Err(last);
            };
            let attempt = Attempt {
                worker: self.worker,
                instance,
                deadline: self.deadline,
                hop: self.hop,
            };
            let missed = match attempt.run(req).await {
                Ok(res) => return Ok(res),
                Err(missed) => missed,
            };
            last = missed.failure;
            tried.push(instance.id.clone());
            match again.or(missed.unsent.map(|req| *req)) {
                Some(same) if self.may_retry(&last, tried.len()) => req = same,
                _ => return Err(last),
            }
        }
    }

    fn may_retry(&self, failure: &Failure, tries: usize) -> bool {
        let attempts = self.service.entry.limits.retry.attempts;
        if tries >= usize::try_from(attempts).unwrap_or(usize::MAX) {
            return false;
        }
        match failure {
            Failure::Refused(refusal) => refusal.outcome() == sassafrasspool_core::Outcome::NotRun,
            // Only the outermost hop: nineteen that each try twice would make
            // half a million runs out of one.
            Failure::Lost(_) => self.route.route.idempotent && self.hop == 1,
        }
    }
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
