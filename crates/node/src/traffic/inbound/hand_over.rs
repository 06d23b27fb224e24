//! From a request's arrival beside its target to the head of the answer.

use std::sync::Arc;
use std::time::Duration;

use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::Uri;
use http::Version;
use sassafrasspool_core::Admitted;
use sassafrasspool_core::Class;
use sassafrasspool_core::ColdLimit;
use sassafrasspool_core::Limits;
use sassafrasspool_core::Permit;
use sassafrasspool_core::Reason;
use sassafrasspool_core::Request as Stage;
use sassafrasspool_core::Step;
use sassafrasspool_core::Tick;
use sassafrasspool_wire::header::REQUEST_ID;
use sassafrasspool_wire::header::REQUEST_TIMEOUT_MS;

use crate::Dialect;
use crate::traffic::answer::Answer;
use crate::traffic::head;
use crate::traffic::hub::Hub;
use crate::traffic::inbound::admission;
use crate::traffic::inbound::body_intake;
use crate::traffic::inbound::exchange::Sent;
use crate::traffic::inbound::exchange::take_back;
use crate::traffic::inbound::forward::Call;
use crate::traffic::inbound::unsent_key::UnsentKey;
use crate::traffic::missed::Missed;
use crate::traffic::parents::Parent;
use crate::traffic::payload::Payload;
use crate::traffic::target;
use crate::traffic::target::Connection;
use crate::traffic::target::crash_watch::Watched;
use crate::traffic::worker::Worker;

/// A request on its way through the stages that the core keeps apart.
#[derive(Debug)]
pub(in crate::traffic) struct AtTarget<'a> {
    pub(in crate::traffic) worker: &'a Worker,
    pub(in crate::traffic) req: Request<Payload>,
    pub(in crate::traffic) call: Call<'a>,
    pub(in crate::traffic) key: UnsentKey,
}

impl AtTarget<'_> {
    /// The request's id, as its caller gave it.
    pub(in crate::traffic) fn id(&self) -> Option<HeaderValue> {
        self.req.headers().get(REQUEST_ID).cloned()
    }

    /// Gets a slot and a connection, then hands over.
    ///
    /// # Errors
    ///
    /// A refusal was not handed over; anything later is a loss.
    pub(in crate::traffic) async fn run(
        mut self,
        class: Class,
        limits: &Limits,
        slots: Option<u32>,
        cold: Option<ColdLimit>,
    ) -> Result<Response<Answer>, Missed> {
        let hub = &self.worker.hub;
        let stage = Stage::received(class, self.call.deadline);
        let mut ask = self.call.ask(class, limits);
        ask.cold_limit = cold;
        if let Some(slots) = slots {
            ask.slots = Some(slots);
            hub.pool.resize(slots);
        }
        self.req = body_intake::take_in(hub, &ask, self.req).await?;
        let asked = hub.shared.clock().now();
        let clock = hub.shared.clock();
        let barred = hub.quarantined(Step::Admission, self.call.content.as_ref());
        let admitted = admission::admit(&hub.admission, clock, &ask, barred).await;
        let waited = hub.shared.clock().now().since(asked);
        hub.stages.queue.took(class, waited);
        let permit: Permit = match admitted {
            Ok(permit) => permit,
            Err(refusal) => return Err(Missed::unsent(refusal, self.req)),
        };
        let stage = stage.admit(permit);
        if hub.has_departed() {
            // It waited for its slot while the target left.
            let now = hub.shared.clock().now();
            let refusal = stage.refuse(now, Step::Admission, Reason::Draining);
            return Err(Missed::unsent(refusal, self.req));
        }
        if let Some(left) = hub.quarantined_for(self.call.content.as_ref()) {
            // Targets crashed under it while it waited for its slot.
            let now = hub.shared.clock().now();
            let refusal = stage.refuse(now, Step::Admission, Reason::Quarantined);
            return Err(Missed::unsent(refusal.with_retry_after(left), self.req));
        }
        match target::take(&hub.pool, self.worker.index).await {
            Ok(conn) => self.hand_over(stage, conn).await,
            Err(err) => {
                tracing::debug!(%err, "not handed over");
                let now = hub.shared.clock().now();
                let refusal = stage.refuse(now, Step::Connect, Reason::Connect);
                Err(Missed::unsent(refusal, self.req))
            }
        }
    }

    async fn hand_over(
        self,
        stage: Stage<Admitted>,
        conn: Connection,
    ) -> Result<Response<Answer>, Missed> {
        let AtTarget {
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
        let parent = hub.parents.enter(req.headers(), parent);
        let now = hub.shared.clock().now();
        let running = match key.hand_over(now) {
            Ok(running) => running,
            Err(refusal) => return Err(Missed::unsent(refusal, req)),
        };
        let life = named_life(hub, now, &call);
        match stage.hand_over(now) {
            Ok(stage) => {
                let left = call.deadline.remaining(now);
                let watched = call.content.map(|content| Watched::enter(hub, content));
                let req = for_target(req, left, life.as_ref(), &call, hub.shared.dialect());
                let sent = Sent {
                    hub: Arc::clone(hub),
                    stage,
                    running,
                    deadline: call.deadline,
                    watched,
                    life: life.filter(|_| call.for_own_service),
                    _parent: parent,
                };
                sent.run(conn, req).await
            }
            Err(refusal) => Err(Missed::unsent(take_back(running, refusal), req)),
        }
    }
}

/// The life that the target is told a request is meant for.
///
/// Another than was asked for only where the service is the target's for sure: a
/// node that was told to stop may have lost its target's address to another.
fn named_life(hub: &Hub, now: Tick, call: &Call<'_>) -> Option<HeaderValue> {
    let asked = call.life.as_ref()?;
    match call.for_own_service && !hub.is_leaving() {
        true => Some(hub.own_life.meant(now, asked)),
        false => Some(asked.clone()),
    }
}

/// Takes off what concerns nodes alone and makes it an HTTP/1.1 request.
///
/// The target is told the time that is left, not what the caller had at first.
/// Rounded up, it ends after the node has given the request up: the caller
/// then hears from the node that the outcome is unknown.
fn for_target(
    mut req: Request<Payload>,
    left: Duration,
    life: Option<&HeaderValue>,
    call: &Call<'_>,
    dialect: &Dialect,
) -> Request<Payload> {
    head::strip_own(req.headers_mut());
    let told = [
        (&dialect.target_life, life),
        (&dialect.origin, call.origin.as_ref()),
    ];
    for (name, value) in told {
        if let Some(name) = name {
            set(req.headers_mut(), name, value);
        }
    }
    let left_ms = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
    let left_ms = HeaderValue::from(left_ms.saturating_add(1));
    req.headers_mut().insert(REQUEST_TIMEOUT_MS, left_ms);
    let path = req.uri().path_and_query().cloned();
    *req.uri_mut() = path.map_or_else(Uri::default, Uri::from);
    *req.version_mut() = Version::HTTP_11;
    req
}

/// Sets a header that is the node's to set, whatever the caller sent.
fn set(headers: &mut HeaderMap, name: &HeaderName, value: Option<&HeaderValue>) {
    match value {
        Some(value) => headers.insert(name, value.clone()),
        None => headers.remove(name),
    };
}
