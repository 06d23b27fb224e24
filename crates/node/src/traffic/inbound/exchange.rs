//! The exchange of a request that is handed over, up to its answer.

use std::sync::Arc;

use http::HeaderMap;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::Version;
use http_body::Body;
use http_body_util::BodyExt;
use sassafrasspool_core::Deadline;
use sassafrasspool_core::HandedOver;
use sassafrasspool_core::LinkReservation;
use sassafrasspool_core::Loss;
use sassafrasspool_core::LossCause;
use sassafrasspool_core::Reason;
use sassafrasspool_core::Refusal;
use sassafrasspool_core::Request as Stage;
use sassafrasspool_core::RunPermit;
use sassafrasspool_core::Step;
use sassafrasspool_core::Tick;
use sassafrasspool_wire::header::REQUEST_ID;

use crate::traffic::answer_body::AnswerBody;
use crate::traffic::failed_attempt::FailedAttempt;
use crate::traffic::head;
use crate::traffic::hub::Hub;
use crate::traffic::parents;
use crate::traffic::payload::Payload;
use crate::traffic::stored_answer::AnswerRecorder;
use crate::traffic::target;
use crate::traffic::target::Connection;
use crate::traffic::target::TargetBody;
use crate::traffic::target::crash_watch::WatchedRequest;

/// A request that is handed over to the local target.
#[derive(Debug)]
pub(in crate::traffic) struct SentRequest {
    pub(in crate::traffic) hub: Arc<Hub>,
    pub(in crate::traffic) stage: Stage<HandedOver>,
    /// The right to run the request of its key, if it has one.
    pub(in crate::traffic) run_permit: Option<RunPermit>,
    pub(in crate::traffic) deadline: Deadline,
    /// Records how the target fares while it runs the request; `None` if the content of
    /// the request is unknown.
    pub(in crate::traffic) watched: Option<Box<WatchedRequest>>,
    /// The reservation of the outgoing link, if the answer is large.
    pub(in crate::traffic) link: Option<LinkReservation>,
    /// The target generation that the request names, if it is meant for the service of
    /// the local target.
    pub(in crate::traffic) generation: Option<HeaderValue>,
    pub(in crate::traffic) _parent: Option<parents::ParentGuard>,
}

impl SentRequest {
    /// Sends the request and returns the answer.
    ///
    /// Without a key, dropping the future cancels the exchange. With a key, the
    /// exchange continues until its answer or its deadline: a caller whose
    /// connection broke sends the request again, and then receives the answer
    /// instead of an unknown outcome.
    ///
    /// # Errors
    ///
    /// Returns what is known of the outcome if there is no answer.
    pub(in crate::traffic) async fn run(
        self,
        conn: Connection,
        req: Request<Payload>,
    ) -> Result<Response<AnswerBody>, FailedAttempt> {
        if self.run_permit.is_none() {
            return self.exchange(conn, req).await;
        }
        let hub = Arc::clone(&self.hub);
        let cut = hub.abort.clone();
        let guard = hub.shared.in_flight().enter();
        let task = hub.connections.spawn(async move {
            let _in_flight = guard;
            cut.run_until_cancelled(self.run_and_buffer(conn, req))
                .await
        });
        match task.await {
            Ok(Some(result)) => result,
            _ => Err(Loss::new(Step::Forward, LossCause::ConnectionLost).into()),
        }
    }

    async fn run_and_buffer(
        self,
        conn: Connection,
        req: Request<Payload>,
    ) -> Result<Response<AnswerBody>, FailedAttempt> {
        let max = u64::try_from(self.hub.max_stored_answer_bytes).unwrap_or(u64::MAX);
        let res = self.exchange(conn, req).await?;
        let size = res.body().size_hint().upper();
        if size.is_none_or(|size| size > max) {
            // Too large to be stored for repeats of the request.
            return Ok(res);
        }
        let (head, body) = res.into_parts();
        match body.collect().await {
            Ok(body) => Ok(Response::from_parts(
                head,
                AnswerBody::from_text(body.to_bytes()),
            )),
            Err(_) => Err(Loss::new(Step::Forward, LossCause::AnswerCut).into()),
        }
    }

    async fn exchange(
        self,
        conn: Connection,
        req: Request<Payload>,
    ) -> Result<Response<AnswerBody>, FailedAttempt> {
        let clock = *self.hub.shared.clock();
        let until = clock.instant(self.deadline.tick());
        let id = req.headers().get(REQUEST_ID).cloned();
        let handed_over_at = clock.now();
        let exchange = target::exchange(conn, req);
        match tokio::time::timeout_at(until.into(), exchange).await {
            Ok(Ok(res)) => {
                let took = clock.now().since(handed_over_at);
                self.hub.stages.target.record(self.stage.class(), took);
                self.check_answer(res, id.as_ref(), handed_over_at)
            }
            Ok(Err(target::ExchangeFailure::NotSent(err, proof, unsent))) => {
                tracing::debug!(%err, "not handed over");
                let refusal = self.stage.refuse_unsent(clock.now(), proof);
                let failure = release_key(self.run_permit, refusal).into();
                Err(FailedAttempt { failure, unsent })
            }
            Ok(Err(target::ExchangeFailure::Sent(err))) => {
                tracing::debug!(%err, "lost");
                if let Some(watched) = &self.watched {
                    watched.record_broken_connection();
                }
                Err(self.lose(LossCause::ConnectionLost))
            }
            Ok(Err(target::ExchangeFailure::Malformed(err))) => {
                let request = id.as_ref().and_then(|id| id.to_str().ok());
                tracing::info!(request, %err, "malformed answer of the target");
                Err(self.lose(LossCause::AnswerInvalid))
            }
            Err(_) => Err(self.lose(LossCause::Timeout)),
        }
    }

    /// Classifies an answer: the target's answer to this request, an answer to
    /// another request, or a statement that this request was not run.
    ///
    /// A faulty target sends an answer twice, and the second one arrives where the
    /// answer to the next request is expected. Forwarded, it would disclose the data
    /// of one caller to another. The request id reveals it. The answer is dropped,
    /// which closes its connection, and the outcome of the request is unknown.
    fn check_answer(
        self,
        res: Response<TargetBody>,
        id: Option<&HeaderValue>,
        sent_at: Tick,
    ) -> Result<Response<AnswerBody>, FailedAttempt> {
        let dialect = self.hub.shared.dialect();
        let echoed = res.headers().get(REQUEST_ID);
        let declined = dialect.proves_not_run(&res);
        let is_foreign = match echoed {
            Some(echoed) => id != Some(echoed),
            None => !declined,
        };
        let unsigned = !declined && dialect.lacks_signature(&res);
        if (dialect.echoes_request_id && is_foreign) || unsigned {
            return Err(self.lose(LossCause::AnswerInvalid));
        }
        if res.status() != StatusCode::MISDIRECTED_REQUEST {
            self.record_statements(res.headers(), sent_at);
        }
        if !declined {
            if let Some(named) = &self.generation {
                self.hub.local_generations.record_answered(named);
            }
            return Ok(self.into_answer(res));
        }
        let reason = match res.status() {
            StatusCode::MISDIRECTED_REQUEST => {
                self.record_other_generation(&res);
                Reason::OtherGeneration
            }
            _ => Reason::TargetShed,
        };
        let now = self.hub.shared.clock().now();
        let wait = self.hub.admission.expected_wait(self.stage.class());
        let refusal = self
            .stage
            .refuse_by_target(now, reason)
            .with_retry_after(wait);
        Err(release_key(self.run_permit, refusal).into())
    }

    /// Records what the target states about itself in an answer. A late answer of a replaced
    /// process says nothing about the one that runs now.
    fn record_statements(&self, headers: &HeaderMap, sent_at: Tick) {
        let named = self.generation.as_ref();
        if named.is_some_and(|named| self.hub.local_generations.is_replaced(named)) {
            return;
        }
        let shared = &self.hub.shared;
        let now = shared.clock().now();
        let limit = shared.dialect().stated_rate_limit(headers);
        let statements = shared.target_statements();
        statements.record_limit(now, sent_at, limit);
        if shared.dialect().states_leaving(headers) {
            statements.record_leaving(now);
        }
    }

    /// Records the generation that a target states when it declines a request for another.
    fn record_other_generation(&self, res: &Response<TargetBody>) {
        let name = self.hub.shared.dialect().answering_generation.as_ref();
        let answering = name.and_then(|name| res.headers().get(name));
        if let (Some(named), Some(answering)) = (&self.generation, answering) {
            let now = self.hub.shared.clock().now();
            self.hub
                .local_generations
                .record_declined(now, named, answering);
            self.hub.record_answering_generation(answering);
        }
    }

    fn into_answer(self, res: Response<TargetBody>) -> Response<AnswerBody> {
        let clock = *self.hub.shared.clock();
        let stage = self.stage.begin_answer();
        let mut watched = self.watched;
        if let Some(watched) = &mut watched {
            watched.record_status(res.status());
        }
        let mut res = res.map(|body| body.with_slot(stage, clock, watched));
        head::strip_internal_headers(res.headers_mut());
        head::strip_hop_by_hop(res.headers_mut());
        *res.version_mut() = Version::HTTP_11;
        let recorder = self.run_permit.map(|run_permit| {
            Box::new(AnswerRecorder::new(
                run_permit,
                &res,
                self.hub.max_stored_answer_bytes,
            ))
        });
        let size = res.body().size_hint().exact();
        let share = self.link.map(|link| {
            let kind = link.kind().clone();
            if let Some(size) = size.filter(|_| res.status().is_success()) {
                link.record_size(size);
            }
            let transfer = link.begin(clock.now(), size);
            let id = res.headers().get(REQUEST_ID);
            self.hub.link_share(transfer, id, kind, self.deadline)
        });
        let left = self.deadline.remaining(clock.now());
        res.map(|body| {
            let body = AnswerBody::from_target(body.with_recorder(recorder), left);
            match share {
                Some(share) => body.limited(share),
                None => body,
            }
        })
    }

    fn lose(self, cause: LossCause) -> FailedAttempt {
        let now = self.hub.shared.clock().now();
        if let Some(run_permit) = self.run_permit {
            run_permit.mark_unknown(now);
        }
        self.stage.lose(now, cause).into()
    }
}

/// Marks the key of a refused request as unused.
pub(in crate::traffic) fn release_key(run_permit: Option<RunPermit>, refusal: Refusal) -> Refusal {
    match run_permit {
        Some(run_permit) => run_permit.release(refusal),
        None => refusal,
    }
}
