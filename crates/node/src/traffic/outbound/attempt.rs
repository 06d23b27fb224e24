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
use http_body::Body;
use hyper::body::Incoming;
use sassafrasspool_core::AttemptOutcome;
use sassafrasspool_core::Class;
use sassafrasspool_core::Content;
use sassafrasspool_core::Deadline;
use sassafrasspool_core::Failure;
use sassafrasspool_core::Instance;
use sassafrasspool_core::KindName;
use sassafrasspool_core::LinkReport;
use sassafrasspool_core::LoadReport;
use sassafrasspool_core::Loss;
use sassafrasspool_core::LossCause;
use sassafrasspool_core::Outcome;
use sassafrasspool_core::Picked;
use sassafrasspool_core::Reason;
use sassafrasspool_core::Refusal;
use sassafrasspool_core::RequestRate;
use sassafrasspool_core::Step;
use sassafrasspool_core::Tick;
use sassafrasspool_wire::header as names;
use sassafrasspool_wire::validate_response_head;

use crate::Routes;
use crate::traffic::answer_body::AnswerBody;
use crate::traffic::bounds::HEAD_BYTES_ON_LINK;
use crate::traffic::failed_attempt::FailedAttempt;
use crate::traffic::failure_response;
use crate::traffic::head;
use crate::traffic::inbound::forward;
use crate::traffic::inbound::forward::CallContext;
use crate::traffic::payload::Payload;
use crate::traffic::peer::SendError;
use crate::traffic::worker::Worker;

/// One attempt of a request at one endpoint.
#[derive(Debug)]
pub(in crate::traffic) struct Attempt<'a> {
    pub(in crate::traffic) worker: &'a Worker,
    pub(in crate::traffic) routes: &'a Routes,
    /// The endpoint's instance.
    pub(in crate::traffic) instance: &'a Instance,
    pub(in crate::traffic) deadline: Deadline,
    pub(in crate::traffic) hop: u32,
    pub(in crate::traffic) class: Class,
    pub(in crate::traffic) kind: &'a KindName,
    /// Soft deadline: the moment until which the answer is worth most.
    pub(in crate::traffic) soft_deadline: Option<Tick>,
    /// Whether this attempt is the last resort: no other endpoint is asked for capacity
    /// after it.
    pub(in crate::traffic) last_resort: bool,
    /// Whether the caller was refused before and returns at the time that it was told.
    pub(in crate::traffic) returning: bool,
    /// Fingerprint of the request's content.
    pub(in crate::traffic) content: Option<&'a Content>,
    /// Whether the answer is large.
    pub(in crate::traffic) large_answer: bool,
    /// Whether the answer is sent to a caller outside of the instance.
    pub(in crate::traffic) leaves_instance: bool,
}

impl Attempt<'_> {
    /// Sends the request to the endpoint and records the outcome at the picker.
    ///
    /// # Errors
    ///
    /// Returns what is known of the request if there is no answer.
    pub(in crate::traffic) async fn run(
        &self,
        picked: Picked,
        req: Request<Payload>,
    ) -> Result<Response<AnswerBody>, FailedAttempt> {
        let result = if self.instance.id == *self.worker.hub.shared.me() {
            let result = forward::run_in_target(self.worker, req, self.call_context()).await;
            let shared = &self.worker.hub.shared;
            picked.record_rate_limit(shared.target_statements().limit());
            if let Some(link) = shared.link().filter(|_| self.large_answer) {
                let now = shared.clock().now();
                picked.record_link(now, link.report(now));
            }
            result
        } else {
            self.send_to_peer(&picked, req).await
        };
        let now = self.worker.hub.shared.clock().now();
        let outcome = match &result {
            Ok(res) if is_unavailable(res) => AttemptOutcome::Failed,
            Ok(_) => AttemptOutcome::Answered(now.since(picked.picked_at())),
            Err(failed) => outcome_of(&failed.failure),
        };
        if let Ok(res) = &result
            && self
                .worker
                .hub
                .shared
                .dialect()
                .states_leaving(res.headers())
        {
            picked.mark_leaving(self.instance.target.as_ref());
        }
        if let AttemptOutcome::Answered(took) = outcome {
            picked.record_latency(self.kind, took);
        }
        picked.finish(now, outcome);
        result
    }

    fn call_context(&self) -> CallContext<'_> {
        CallContext {
            routes: self.routes,
            deadline: self.deadline,
            hop: self.hop,
            class: Some(self.class),
            kind: Some(self.kind.clone()),
            soft_deadline: self.soft_deadline,
            last_resort: self.last_resort,
            returning: self.returning,
            content: self.content.copied(),
            generation: self.generation(),
            for_local_service: self.worker.hub.serves(self.instance.service.as_str()),
            known_rate_limit: None,
            origin: self.origin(),
            // The answer to a call of the local target doesn't leave the instance.
            large_answer: self.large_answer && self.leaves_instance,
        }
    }

    /// Milliseconds until the soft deadline.
    fn soft_deadline_left_ms(&self) -> Option<u64> {
        let now = self.worker.hub.shared.clock().now();
        let left = self.soft_deadline?.since(now).as_millis();
        Some(u64::try_from(left).unwrap_or(u64::MAX))
    }

    /// The listed generation of the target, if the dialect has generations.
    fn generation(&self) -> Option<HeaderValue> {
        let generation = self.instance.target.as_ref()?;
        self.worker
            .hub
            .shared
            .dialect()
            .target_generation
            .as_ref()?;
        HeaderValue::from_str(generation.id.as_str()).ok()
    }

    /// The service of the local target, where the request began, if the dialect passes it
    /// to targets.
    fn origin(&self) -> Option<HeaderValue> {
        self.worker.hub.shared.dialect().origin.as_ref()?;
        let service = self.worker.hub.shared.service()?;
        HeaderValue::from_str(service.as_str()).ok()
    }

    async fn send_to_peer(
        &self,
        picked: &Picked,
        req: Request<Payload>,
    ) -> Result<Response<AnswerBody>, FailedAttempt> {
        if !req.body().is_short()
            && let Err(refusal) = self.check_capacity(picked, &req).await
        {
            return Err(FailedAttempt::unsent(refusal, req));
        }
        let res = self.exchange_with_peer(picked, req).await?;
        match failure_response::parse_failure(&res) {
            Some(failure) => Err(failure.into()),
            None => {
                let now = self.worker.hub.shared.clock().now();
                let left = self.deadline.remaining(now);
                let res = res.map(|body| AnswerBody::from_peer(body, left));
                Ok(clean_peer_response(res))
            }
        }
    }

    /// Checks whether the endpoint has capacity for a request with a long body, without
    /// sending the body.
    ///
    /// A body sent at once uses the network link of a target that may have no capacity.
    /// Uploads that were refused everywhere used more of slow links than uploads that were
    /// served, and delayed lookups.
    async fn check_capacity(&self, picked: &Picked, req: &Request<Payload>) -> Result<(), Refusal> {
        let mut probe = Request::new(Payload::empty());
        *probe.method_mut() = req.method().clone();
        *probe.uri_mut() = req.uri().clone();
        probe
            .headers_mut()
            .insert(names::CAPACITY_CHECK, HeaderValue::from_static("1"));
        let answered = self.exchange_with_peer(picked, probe).await;
        let failure = match answered {
            Ok(res) => failure_response::parse_failure(&res),
            Err(failed) => Some(failed.failure),
        };
        match failure {
            None => Ok(()),
            Some(Failure::Refused(refusal)) if refusal.outcome() == Outcome::NotRun => Err(refusal),
            // Whatever the outcome of the check, the request itself wasn't sent.
            Some(_) => Err(Refusal::not_run(Step::Forward, Reason::Connect)),
        }
    }

    /// Sends a request to the endpoint's node and records the load that the answer reports.
    async fn exchange_with_peer(
        &self,
        picked: &Picked,
        req: Request<Payload>,
    ) -> Result<Response<Incoming>, FailedAttempt> {
        let clock = self.worker.hub.shared.clock();
        let left = self
            .deadline
            .remaining_for_next_hop(clock.now())
            .as_millis();
        if left == 0 {
            return Err(Refusal::not_run(Step::Forward, Reason::DeadlinePassed).into());
        }
        let left = u64::try_from(left).unwrap_or(u64::MAX);
        let req = self.peer_request(req, left, picked.rate_limit());
        let body_bytes = req.body().size_hint().lower();
        let connections = &self.worker.peer_connections;
        let connection = connections.connection_to(self.instance.traffic);
        let until = clock.instant(self.deadline.tick());
        let sent = tokio::time::timeout_at(until.into(), connection.send(req)).await;
        let was_sent = !matches!(&sent, Ok(Err(SendError::NotSent(..))));
        if let Some(link) = self.worker.hub.shared.link().filter(|_| was_sent) {
            link.record_other(HEAD_BYTES_ON_LINK + body_bytes);
        }
        let mut res = match sent {
            Ok(Ok(res)) => res,
            Ok(Err(SendError::NotSent(err, req))) => {
                tracing::debug!(%err, "not sent to the peer");
                let refusal = Refusal::not_run(Step::Forward, Reason::Connect);
                return Err(FailedAttempt::unsent(refusal, *req));
            }
            Ok(Err(SendError::Sent(err))) => {
                tracing::debug!(%err, "lost");
                return Err(Loss::new(Step::Forward, LossCause::ConnectionLost).into());
            }
            Err(_) => return Err(Loss::new(Step::Forward, LossCause::Timeout).into()),
        };
        if let Err(err) = validate_response_head(&mut res) {
            let peer = self.instance.traffic;
            tracing::info!(%peer, %err, "malformed answer of a peer");
            return Err(Loss::new(Step::Forward, LossCause::AnswerInvalid).into());
        }
        if let Some(link) = parse_link(&res) {
            picked.record_link(clock.now(), link);
        }
        if let Some(load) = parse_load(&res) {
            picked.record_load(clock.now(), load);
            let cold_ms = head::parse_number(res.headers(), &names::COLD_REMAINING_MS).unwrap_or(0);
            picked.mark_cold_for(clock.now(), Duration::from_millis(cold_ms));
            picked.record_rate_limit(head::parse_rate(res.headers(), &names::KNOWN_RATE_LIMIT));
        }
        Ok(res)
    }

    /// The request with the headers, version and address for a peer.
    fn peer_request(
        &self,
        mut req: Request<Payload>,
        left_ms: u64,
        known_rate_limit: Option<RequestRate>,
    ) -> Request<Payload> {
        let headers = req.headers_mut();
        headers.insert(names::DEADLINE_MS, unindexed(HeaderValue::from(left_ms)));
        if let Some(id) = headers.get_mut(names::REQUEST_ID) {
            id.set_sensitive(true);
        }
        headers.insert(names::HOP_COUNT, HeaderValue::from(self.hop));
        headers.insert(names::CLASS, HeaderValue::from_static(self.class.as_str()));
        let content = self.content.map(Content::to_string);
        let content = content.and_then(|text| HeaderValue::try_from(text).ok());
        let optional = [
            (names::CONTENT_HASH, content.map(unindexed)),
            (names::TARGET_GENERATION, self.generation()),
            (names::KNOWN_RATE_LIMIT, known_rate_limit.map(head::decimal)),
            (names::ORIGIN_SERVICE, self.origin()),
            (names::KIND, HeaderValue::from_str(self.kind.as_str()).ok()),
            (
                names::SOFT_DEADLINE_MS,
                self.soft_deadline_left_ms()
                    .map(HeaderValue::from)
                    .map(unindexed),
            ),
        ];
        if self.large_answer {
            headers.insert(names::LARGE_ANSWER, HeaderValue::from_static("1"));
        }
        if self.last_resort {
            headers.insert(names::LAST_RESORT, HeaderValue::from_static("1"));
        }
        if self.returning {
            headers.insert(names::RETURNING, HeaderValue::from_static("1"));
        }
        for (name, value) in optional {
            if let Some(value) = value {
                headers.insert(name, value);
            }
        }
        self.insert_service(headers);
        *req.version_mut() = Version::HTTP_2;
        let mut uri = std::mem::take(req.uri_mut()).into_parts();
        uri.scheme = Some(Scheme::HTTP);
        if uri.authority.is_none() {
            uri.authority = Some(Authority::from_static("node"));
        }
        // Scheme, authority and path are all present, so this can't fail. The default would
        // be a request for the root.
        *req.uri_mut() = Uri::from_parts(uri).unwrap_or_default();
        req
    }

    fn insert_service(&self, headers: &mut HeaderMap) {
        let name = self.instance.service.as_str();
        if let Ok(value) = HeaderValue::from_str(name) {
            headers.insert(names::SERVICE, value);
        }
    }
}

fn clean_peer_response(mut res: Response<AnswerBody>) -> Response<AnswerBody> {
    head::strip_hop_by_hop(res.headers_mut());
    *res.version_mut() = Version::HTTP_11;
    res
}

fn parse_load<B>(res: &Response<B>) -> Option<LoadReport> {
    let value = res.headers().get(names::LOAD)?;
    LoadReport::parse(value.to_str().ok()?).ok()
}

fn parse_link<B>(res: &Response<B>) -> Option<LinkReport> {
    let value = res.headers().get(names::LINK_REPORT)?;
    LinkReport::parse(value.to_str().ok()?).ok()
}

/// Whether the target itself answers that it is unavailable.
///
/// A target that drains or starts cold on its own answers 503 at once. Counted as a
/// success, this would make its endpoint the least loaded and fastest of its service,
/// and nearly all requests would be sent to it and fail.
fn is_unavailable<B>(res: &Response<B>) -> bool {
    res.status() == StatusCode::SERVICE_UNAVAILABLE
}

/// The outcome that a failed attempt counts as for the endpoint.
fn outcome_of(failure: &Failure) -> AttemptOutcome {
    match failure {
        Failure::Lost(_) => AttemptOutcome::Failed,
        Failure::Refused(refusal) => match refusal.reason() {
            Reason::Connect => AttemptOutcome::NoConnection,
            Reason::Draining | Reason::Starting | Reason::Evacuated => AttemptOutcome::Draining,
            Reason::ColdStart | Reason::TargetLimited => {
                AttemptOutcome::RateLimited(refusal.retry_after().unwrap_or_default())
            }
            // These depend on the request, not on the endpoint.
            Reason::DeadlinePassed | Reason::Quarantined | Reason::OutsideHomes => {
                AttemptOutcome::Cancelled
            }
            _ => AttemptOutcome::Shed,
        },
    }
}

/// Marks a value that won't recur as never indexed, which keeps it out of the header
/// compression table of the connection. Looking it up and inserting it costs more than it
/// saves.
fn unindexed(mut value: HeaderValue) -> HeaderValue {
    value.set_sensitive(true);
    value
}
