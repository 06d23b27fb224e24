//! One attempt of a request at one endpoint.

use std::time::Duration;

use http::HeaderMap;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::Uri;
use http::Version;
use http::uri::Authority;
use http::uri::Scheme;
use hyper::body::Incoming;
use sassafrasspool_core::AttemptOutcome;
use sassafrasspool_core::Class;
use sassafrasspool_core::Content;
use sassafrasspool_core::Deadline;
use sassafrasspool_core::Failure;
use sassafrasspool_core::Instance;
use sassafrasspool_core::KindName;
use sassafrasspool_core::LoadReport;
use sassafrasspool_core::Loss;
use sassafrasspool_core::LossCause;
use sassafrasspool_core::Outcome;
use sassafrasspool_core::Picked;
use sassafrasspool_core::Reason;
use sassafrasspool_core::Refusal;
use sassafrasspool_core::Step;
use sassafrasspool_core::Tick;
use sassafrasspool_wire::header as names;

use crate::Routes;
use crate::traffic::answer::Answer;
use crate::traffic::head;
use crate::traffic::inbound::forward;
use crate::traffic::inbound::forward::Call;
use crate::traffic::missed::Missed;
use crate::traffic::payload::Payload;
use crate::traffic::peer::LinkFailure;
use crate::traffic::refusal;
use crate::traffic::worker::Worker;

/// One attempt.
#[derive(Debug)]
pub(in crate::traffic) struct Attempt<'a> {
    pub(in crate::traffic) worker: &'a Worker,
    pub(in crate::traffic) routes: &'a Routes,
    /// Where it goes.
    pub(in crate::traffic) instance: &'a Instance,
    pub(in crate::traffic) deadline: Deadline,
    pub(in crate::traffic) hop: u32,
    pub(in crate::traffic) class: Class,
    pub(in crate::traffic) kind: &'a KindName,
    /// Until when the answer is worth most.
    pub(in crate::traffic) aim: Option<Tick>,
    /// Whether nobody else is asked for room after this.
    pub(in crate::traffic) settles: bool,
    /// What it asks for.
    pub(in crate::traffic) content: Option<&'a Content>,
}

impl Attempt<'_> {
    /// Gets the answer of the endpoint, and notes what it says of it.
    ///
    /// # Errors
    ///
    /// Says what is known of the request if there is none.
    pub(in crate::traffic) async fn run(
        &self,
        picked: Picked,
        req: Request<Payload>,
    ) -> Result<Response<Answer>, Missed> {
        let result = if self.instance.id == *self.worker.hub.shared.me() {
            forward::run(self.worker, req, self.call()).await
        } else {
            self.run_at_peer(&picked, req).await
        };
        let now = self.worker.hub.shared.clock().now();
        let verdict = match &result {
            Ok(res) if is_unavailable(res) => AttemptOutcome::Failed,
            Ok(_) => AttemptOutcome::Answered(now.since(picked.picked_at())),
            Err(missed) => verdict_of(&missed.failure),
        };
        if let AttemptOutcome::Answered(took) = verdict {
            picked.record_latency(self.kind, took);
        }
        picked.finish(now, verdict);
        result
    }

    fn call(&self) -> Call<'_> {
        Call {
            routes: self.routes,
            deadline: self.deadline,
            hop: self.hop,
            class: Some(self.class),
            kind: Some(self.kind.clone()),
            aim: self.aim,
            settles: self.settles,
            content: self.content.copied(),
            life: self.life(),
            for_own_service: self.worker.hub.serves(self.instance.service.as_str()),
            origin: self.origin(),
        }
    }

    /// Milliseconds within which the answer is worth most.
    fn aim_left(&self) -> Option<u64> {
        let now = self.worker.hub.shared.clock().now();
        let left = self.aim?.since(now).as_millis();
        Some(u64::try_from(left).unwrap_or(u64::MAX))
    }

    /// The life that the list gives the target, where lives are told apart.
    fn life(&self) -> Option<HeaderValue> {
        let life = self.instance.target.as_ref()?;
        self.worker.hub.shared.dialect().target_life.as_ref()?;
        HeaderValue::from_str(life.id.as_str()).ok()
    }

    /// The service beside whose target the request began, where targets are
    /// told of it.
    fn origin(&self) -> Option<HeaderValue> {
        self.worker.hub.shared.dialect().origin.as_ref()?;
        let service = self.worker.hub.shared.service()?;
        HeaderValue::from_str(service.as_str()).ok()
    }

    async fn run_at_peer(
        &self,
        picked: &Picked,
        req: Request<Payload>,
    ) -> Result<Response<Answer>, Missed> {
        if !req.body().is_short()
            && let Err(refusal) = self.ask_for_room(picked, &req).await
        {
            return Err(Missed::unsent(refusal, req));
        }
        let res = self.pass_on(picked, req).await?;
        match refusal::failure_of(&res) {
            Some(failure) => Err(failure.into()),
            None => Ok(from_peer(res.map(Answer::peer))),
        }
    }

    /// Asks whether there would be room for a request with a long body.
    ///
    /// A body that is sent along takes the link of a target that may have no room:
    /// uploads that were refused everywhere took more of slow links than those that
    /// were served, and kept lookups on the way.
    async fn ask_for_room(&self, picked: &Picked, req: &Request<Payload>) -> Result<(), Refusal> {
        let mut ask = Request::new(Payload::empty());
        *ask.method_mut() = req.method().clone();
        *ask.uri_mut() = req.uri().clone();
        ask.headers_mut()
            .insert(names::ROOM, HeaderValue::from_static("1"));
        let answered = self.pass_on(picked, ask).await;
        let told = match answered {
            Ok(res) => refusal::failure_of(&res),
            Err(missed) => Some(missed.failure),
        };
        match told {
            None => Ok(()),
            Some(Failure::Refused(refusal)) if refusal.outcome() == Outcome::NotRun => Err(refusal),
            // Whatever became of the question, the request itself wasn't sent.
            Some(_) => Err(Refusal::not_run(Step::Forward, Reason::Connect)),
        }
    }

    /// Passes a request on, and takes in the load that its answer tells.
    async fn pass_on(
        &self,
        picked: &Picked,
        req: Request<Payload>,
    ) -> Result<Response<Incoming>, Missed> {
        let clock = self.worker.hub.shared.clock();
        let left = self
            .deadline
            .remaining_for_next_hop(clock.now())
            .as_millis();
        if left == 0 {
            return Err(Refusal::not_run(Step::Forward, Reason::DeadlinePassed).into());
        }
        let req = self.for_peer(req, u64::try_from(left).unwrap_or(u64::MAX));
        let link = self.worker.links.to(self.instance.traffic);
        let until = clock.instant(self.deadline.tick());
        let sent = tokio::time::timeout_at(until.into(), link.send(req)).await;
        let res = match sent {
            Ok(Ok(res)) => res,
            Ok(Err(LinkFailure::NotSent(err, req))) => {
                tracing::debug!(%err, "not passed on");
                let refusal = Refusal::not_run(Step::Forward, Reason::Connect);
                return Err(Missed::unsent(refusal, *req));
            }
            Ok(Err(LinkFailure::Sent(err))) => {
                tracing::debug!(%err, "lost");
                return Err(Loss::new(Step::Forward, LossCause::ConnectionLost).into());
            }
            Err(_) => return Err(Loss::new(Step::Forward, LossCause::Timeout).into()),
        };
        if let Some(load) = load_of(&res) {
            picked.record_load(clock.now(), load);
            let cold_ms = head::number(res.headers(), &names::COLD_MS).unwrap_or(0);
            picked.mark_cold_for(clock.now(), Duration::from_millis(cold_ms));
        }
        Ok(res)
    }

    fn for_peer(&self, mut req: Request<Payload>, left_ms: u64) -> Request<Payload> {
        let headers = req.headers_mut();
        headers.insert(names::DEADLINE_MS, once(HeaderValue::from(left_ms)));
        if let Some(id) = headers.get_mut(names::REQUEST_ID) {
            id.set_sensitive(true);
        }
        headers.insert(names::HOP, HeaderValue::from(self.hop));
        headers.insert(names::CLASS, HeaderValue::from_static(self.class.as_str()));
        let content = self.content.map(Content::to_string);
        let content = content.and_then(|text| HeaderValue::try_from(text).ok());
        let told = [
            (names::CONTENT, content.map(once)),
            (names::LIFE, self.life()),
            (names::ORIGIN, self.origin()),
            (names::KIND, HeaderValue::from_str(self.kind.as_str()).ok()),
            (
                names::AIM_MS,
                self.aim_left().map(HeaderValue::from).map(once),
            ),
        ];
        if self.settles {
            headers.insert(names::SETTLES, HeaderValue::from_static("1"));
        }
        for (name, value) in told {
            if let Some(value) = value {
                headers.insert(name, value);
            }
        }
        self.add_service(headers);
        *req.version_mut() = Version::HTTP_2;
        let mut uri = std::mem::take(req.uri_mut()).into_parts();
        uri.scheme = Some(Scheme::HTTP);
        if uri.authority.is_none() {
            uri.authority = Some(Authority::from_static("node"));
        }
        // Scheme, authority and path are all there, so that it can't fail; a
        // request for the root would be the worst case.
        *req.uri_mut() = Uri::from_parts(uri).unwrap_or_default();
        req
    }

    fn add_service(&self, headers: &mut HeaderMap) {
        let name = self.instance.service.as_str();
        if let Ok(value) = HeaderValue::from_str(name) {
            headers.insert(names::SERVICE, value);
        }
    }
}

fn from_peer(mut res: Response<Answer>) -> Response<Answer> {
    head::strip_connection(res.headers_mut());
    *res.version_mut() = Version::HTTP_11;
    res
}

fn load_of<B>(res: &Response<B>) -> Option<LoadReport> {
    let value = res.headers().get(names::LOAD)?;
    LoadReport::parse(value.to_str().ok()?).ok()
}

/// Whether the target itself says that it takes no work.
///
/// A target that drains or starts cold by itself answers 503 in no time. As a
/// good answer that would make its endpoint the least loaded and the fastest
/// of its service, and draw nearly all requests to it, to fail.
fn is_unavailable<B>(res: &Response<B>) -> bool {
    res.status() == StatusCode::SERVICE_UNAVAILABLE
}

/// What a failure says of the endpoint.
fn verdict_of(failure: &Failure) -> AttemptOutcome {
    match failure {
        Failure::Lost(_) => AttemptOutcome::Failed,
        Failure::Refused(refusal) => match refusal.reason() {
            Reason::Connect => AttemptOutcome::NoConnection,
            Reason::Draining | Reason::Starting | Reason::Evacuated => AttemptOutcome::Draining,
            Reason::ColdStart => AttemptOutcome::Cold(refusal.retry_after().unwrap_or_default()),
            // None of them says anything of the endpoint.
            Reason::DeadlinePassed | Reason::Quarantined | Reason::OutsideHomes => {
                AttemptOutcome::Cancelled
            }
            _ => AttemptOutcome::Shed,
        },
    }
}

/// Keeps a value that doesn't come again out of the table of the connection's
/// headers, where looking for it and putting it in costs more than it saves.
fn once(mut value: HeaderValue) -> HeaderValue {
    value.set_sensitive(true);
    value
}
