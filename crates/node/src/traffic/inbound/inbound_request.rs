//! A request to the local target, from its admission to its hand-over.

use std::sync::Arc;
use std::time::Duration;

use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::Uri;
use http::Version;
use http::header;
use http_body::Body;
use metrics::counter;
use sassafrasspool_core::Admitted;
use sassafrasspool_core::BoundService;
use sassafrasspool_core::Class;
use sassafrasspool_core::LinkRequest;
use sassafrasspool_core::LinkReservation;
use sassafrasspool_core::Permit;
use sassafrasspool_core::Reason;
use sassafrasspool_core::Refusal;
use sassafrasspool_core::Request as Stage;
use sassafrasspool_core::Step;
use sassafrasspool_core::Tick;
use sassafrasspool_wire::header::REQUEST_ID;
use sassafrasspool_wire::header::REQUEST_TIMEOUT_MS;

use crate::Dialect;
use crate::metrics::traffic;
use crate::traffic::answer_body::AnswerBody;
use crate::traffic::failed_attempt::FailedAttempt;
use crate::traffic::head;
use crate::traffic::hub::Hub;
use crate::traffic::inbound::admission;
use crate::traffic::inbound::body_intake;
use crate::traffic::inbound::exchange::SentRequest;
use crate::traffic::inbound::exchange::release_key;
use crate::traffic::inbound::forward::CallContext;
use crate::traffic::inbound::forward::StartLimits;
use crate::traffic::inbound::unsent_key::UnsentKey;
use crate::traffic::parents::Parent;
use crate::traffic::payload::Payload;
use crate::traffic::target;
use crate::traffic::target::Connection;
use crate::traffic::target::crash_watch::WatchedRequest;
use crate::traffic::worker::Worker;

/// A request to the local target that is not handed over yet.
#[derive(Debug)]
pub(in crate::traffic) struct InboundRequest<'a> {
    pub(in crate::traffic) worker: &'a Worker,
    pub(in crate::traffic) req: Request<Payload>,
    pub(in crate::traffic) call: CallContext<'a>,
    pub(in crate::traffic) key: UnsentKey,
}

impl InboundRequest<'_> {
    /// The id that the caller gave the request.
    pub(in crate::traffic) fn request_id(&self) -> Option<HeaderValue> {
        self.req.headers().get(REQUEST_ID).cloned()
    }

    /// Acquires a slot and a connection, then hands the request over.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the request was not handed over, and a loss after that.
    pub(in crate::traffic) async fn admit_and_send(
        mut self,
        class: Class,
        service: &BoundService,
        slots: Option<u32>,
    ) -> Result<Response<AnswerBody>, FailedAttempt> {
        let hub = &self.worker.hub;
        let stage = Stage::received(class, self.call.deadline);
        let limits = &service.entry.limits;
        let mut admission_request = self.call.admission_request(class, limits);
        StartLimits::find(self.worker, service, &self.call).apply_to(&mut admission_request);
        if let Some(slots) = slots {
            admission_request.slots = Some(slots);
            hub.pool.resize(slots);
        }
        self.req = body_intake::receive_body(hub, &admission_request, self.req).await?;
        let link = match self.reserve_link(class) {
            Ok(link) => link,
            Err(refusal) => return Err(FailedAttempt::unsent(refusal, self.req)),
        };
        // The target may have become cold while the body was received.
        StartLimits::find(self.worker, service, &self.call).apply_to(&mut admission_request);
        let queued_at = hub.shared.clock().now();
        let clock = hub.shared.clock();
        let quarantined = hub.wait_quarantined(Step::Admission, self.call.content.as_ref());
        let admitted =
            admission::admit(&hub.admission, clock, &admission_request, quarantined).await;
        let waited = hub.shared.clock().now().since(queued_at);
        hub.stages.queue.record(class, waited);
        let permit: Permit = match admitted {
            Ok(permit) => permit,
            Err(refusal) => return Err(FailedAttempt::unsent(refusal, self.req)),
        };
        count_admission(hub);
        let stage = stage.admit(permit);
        if let Some(left) = hub.hold_suspect(self.call.content.as_ref()).await {
            // The request was quarantined while it was queued.
            let now = hub.shared.clock().now();
            let refusal = stage.refuse(now, Step::Admission, Reason::Quarantined);
            return Err(FailedAttempt::unsent(
                refusal.with_retry_after(left),
                self.req,
            ));
        }
        if hub.has_departed() {
            // The target departed while the request was queued.
            let now = hub.shared.clock().now();
            let refusal = stage.refuse(now, Step::Admission, Reason::Draining);
            return Err(FailedAttempt::unsent(refusal, self.req));
        }
        match target::acquire(&hub.pool, self.worker.index).await {
            Ok(conn) => {
                if hub.pool.take_restarted() {
                    hub.record_target_restart();
                }
                self.hand_over(stage, conn, link).await
            }
            Err(err) => {
                tracing::debug!(%err, "not handed over");
                let now = hub.shared.clock().now();
                let refusal = stage.refuse(now, Step::Connect, Reason::Connect);
                Err(FailedAttempt::unsent(refusal, self.req))
            }
        }
    }

    /// Reserves the link for a large answer, if the node has one.
    ///
    /// A request whose answer can't be delivered in time is refused before it runs: its run and
    /// its answer would be wasted, and others would wait for the link behind it.
    fn reserve_link(&self, class: Class) -> Result<Option<LinkReservation>, Refusal> {
        let hub = &self.worker.hub;
        // An answer that is stored for repeats is collected before it is sent.
        let is_large = self.call.large_answer && !self.key.has_permit();
        let link = hub.shared.link().filter(|_| is_large);
        let (Some(link), Some(kind)) = (link, &self.call.kind) else {
            return Ok(None);
        };
        let now = hub.shared.clock().now();
        let request = LinkRequest {
            kind,
            deadline: self.call.deadline,
            soft_deadline: self.call.soft_deadline,
            last_resort: self.call.last_resort,
            answers_in: hub.admission.expected_time(now, class, kind),
        };
        link.reserve(now, &request).map(Some)
    }

    async fn hand_over(
        self,
        stage: Stage<Admitted>,
        conn: Connection,
        link: Option<LinkReservation>,
    ) -> Result<Response<AnswerBody>, FailedAttempt> {
        let InboundRequest {
            worker,
            req,
            call,
            key,
        } = self;
        let hub = &worker.hub;
        let parent = Parent {
            hop: call.hop,
            deadline: call.deadline,
        };
        let parent = hub.parents.register(req.headers(), parent);
        let now = hub.shared.clock().now();
        let run_permit = match key.into_run_permit(now) {
            Ok(run_permit) => run_permit,
            Err(refusal) => return Err(FailedAttempt::unsent(refusal, req)),
        };
        let generation = named_generation(hub, now, &call);
        match stage.hand_over(now) {
            Ok(stage) => {
                let left = call.deadline.remaining(now);
                let watched = call
                    .content
                    .map(|content| WatchedRequest::start(hub, content));
                let req = for_target(req, left, generation.as_ref(), &call, hub.shared.dialect());
                let sent = SentRequest {
                    hub: Arc::clone(hub),
                    stage,
                    run_permit,
                    deadline: call.deadline,
                    watched,
                    link,
                    generation: generation.filter(|_| call.for_local_service),
                    _parent: parent,
                };
                sent.run(conn, req).await
            }
            Err(refusal) => Err(FailedAttempt::unsent(release_key(run_permit, refusal), req)),
        }
    }
}

fn count_admission(hub: &Hub) {
    let now = hub.shared.clock().now();
    let target = match hub.shared.cold_tracker().cold_left(now).is_zero() {
        true => "warm",
        false => "cold",
    };
    counter!(traffic::ADMISSIONS, "target" => target).increment(1);
}

/// The target generation that a request names to the target.
///
/// It differs from the requested one only where the target certainly serves the
/// requested service: while a node stops, the address of its target may already belong
/// to another target.
fn named_generation(hub: &Hub, now: Tick, call: &CallContext<'_>) -> Option<HeaderValue> {
    let requested = call.generation.as_ref()?;
    match call.for_local_service && !hub.is_leaving() {
        true => Some(hub.local_generations.resolve(now, requested)),
        false => Some(requested.clone()),
    }
}

/// Removes the headers that only nodes use and makes it an HTTP/1.1 request.
///
/// The target receives the remaining time and not the caller's full timeout. The
/// remaining time is rounded up, so that it ends after the node has abandoned the
/// request: the caller then receives from the node that the outcome is unknown.
fn for_target(
    mut req: Request<Payload>,
    left: Duration,
    generation: Option<&HeaderValue>,
    call: &CallContext<'_>,
    dialect: &Dialect,
) -> Request<Payload> {
    head::strip_internal_headers(req.headers_mut());
    let own_headers = [
        (&dialect.target_generation, generation),
        (&dialect.origin, call.origin.as_ref()),
    ];
    for (name, value) in own_headers {
        if let Some(name) = name {
            set_or_remove(req.headers_mut(), name, value);
        }
    }
    let left_ms = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
    let left_ms = HeaderValue::from(left_ms.saturating_add(1));
    req.headers_mut().insert(REQUEST_TIMEOUT_MS, left_ms);
    let path = req.uri().path_and_query().cloned();
    *req.uri_mut() = path.map_or_else(Uri::default, Uri::from);
    *req.version_mut() = Version::HTTP_11;
    set_framing(&mut req);
    req
}

/// States how a body of unknown size is framed.
///
/// Unless the head says otherwise, the HTTP library sends no body with methods that rarely
/// have one, such as GET.
fn set_framing(req: &mut Request<Payload>) {
    let body = req.body();
    if !body.is_end_stream() && body.size_hint().exact().is_none() {
        let chunked = HeaderValue::from_static("chunked");
        req.headers_mut().insert(header::TRANSFER_ENCODING, chunked);
    }
}

/// Sets a header that only the node may set, and replaces or removes the caller's value.
fn set_or_remove(headers: &mut HeaderMap, name: &HeaderName, value: Option<&HeaderValue>) {
    match value {
        Some(value) => headers.insert(name, value.clone()),
        None => headers.remove(name),
    };
}
