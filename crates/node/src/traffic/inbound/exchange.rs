//! From the hand-over of a request to its answer.

use std::sync::Arc;

use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::Version;
use http_body::Body;
use http_body_util::BodyExt;
use sassafrasspool_core::Deadline;
use sassafrasspool_core::HandedOver;
use sassafrasspool_core::Loss;
use sassafrasspool_core::LossCause;
use sassafrasspool_core::Reason;
use sassafrasspool_core::Refusal;
use sassafrasspool_core::Request as Stage;
use sassafrasspool_core::RunPermit;
use sassafrasspool_core::Step;
use sassafrasspool_wire::header::REQUEST_ID;

use crate::traffic::answer::Answer;
use crate::traffic::head;
use crate::traffic::hub::Hub;
use crate::traffic::missed::Missed;
use crate::traffic::parents;
use crate::traffic::payload::Payload;
use crate::traffic::stored_answer::Recorder;
use crate::traffic::target;
use crate::traffic::target::Connection;
use crate::traffic::target::TargetBody;
use crate::traffic::target::crash_watch::Watched;

/// A request that is handed over.
#[derive(Debug)]
pub(in crate::traffic) struct Sent {
    pub(in crate::traffic) hub: Arc<Hub>,
    pub(in crate::traffic) stage: Stage<HandedOver>,
    /// The right to run its key, if it has one.
    pub(in crate::traffic) running: Option<RunPermit>,
    pub(in crate::traffic) deadline: Deadline,
    /// Whether the target crashes under it, if it is known what it asks for.
    pub(in crate::traffic) watched: Option<Box<Watched>>,
    /// The life that it names, if it is meant for the own target's service.
    pub(in crate::traffic) life: Option<HeaderValue>,
    pub(in crate::traffic) _parent: Option<parents::Running>,
}

impl Sent {
    /// Gets the answer.
    ///
    /// Without a key, dropping the future ends the exchange. With one it goes
    /// on until its answer or its deadline: a caller whose connection broke
    /// sends the request again, and then gets the answer instead of hearing
    /// that nothing is known.
    ///
    /// # Errors
    ///
    /// Says what is known of the request if there is no answer.
    pub(in crate::traffic) async fn run(
        self,
        conn: Connection,
        req: Request<Payload>,
    ) -> Result<Response<Answer>, Missed> {
        if self.running.is_none() {
            return self.exchange(conn, req).await;
        }
        let hub = Arc::clone(&self.hub);
        let cut = hub.cut.clone();
        let guard = hub.shared.in_flight().enter();
        let task = hub.connections.spawn(async move {
            let _in_flight = guard;
            cut.run_until_cancelled(self.run_to_end(conn, req)).await
        });
        match task.await {
            Ok(Some(result)) => result,
            _ => Err(Loss::new(Step::Forward, LossCause::ConnectionLost).into()),
        }
    }

    async fn run_to_end(
        self,
        conn: Connection,
        req: Request<Payload>,
    ) -> Result<Response<Answer>, Missed> {
        let max = u64::try_from(self.hub.max_stored).unwrap_or(u64::MAX);
        let res = self.exchange(conn, req).await?;
        let size = res.body().size_hint().upper();
        if size.is_none_or(|size| size > max) {
            // Not kept for repeats anyway.
            return Ok(res);
        }
        let (head, body) = res.into_parts();
        match body.collect().await {
            Ok(whole) => Ok(Response::from_parts(head, Answer::text(whole.to_bytes()))),
            Err(_) => Err(Loss::new(Step::Forward, LossCause::AnswerCut).into()),
        }
    }

    async fn exchange(
        self,
        conn: Connection,
        req: Request<Payload>,
    ) -> Result<Response<Answer>, Missed> {
        let clock = *self.hub.shared.clock();
        let until = clock.instant(self.deadline.tick());
        let id = req.headers().get(REQUEST_ID).cloned();
        let handed_over = clock.now();
        let exchange = target::exchange(conn, req);
        match tokio::time::timeout_at(until.into(), exchange).await {
            Ok(Ok(res)) => {
                let took = clock.now().since(handed_over);
                self.hub.stages.target.took(self.stage.class(), took);
                self.checked(res, id.as_ref())
            }
            Ok(Err(target::Failure::NotSent(err, proof, unsent))) => {
                tracing::debug!(%err, "not handed over");
                let refusal = self.stage.refuse_unsent(clock.now(), proof);
                let failure = take_back(self.running, refusal).into();
                Err(Missed { failure, unsent })
            }
            Ok(Err(target::Failure::Sent(err))) => {
                tracing::debug!(%err, "lost");
                if let Some(watched) = &self.watched {
                    watched.lost();
                }
                Err(self.lost(LossCause::ConnectionLost))
            }
            Err(_) => Err(self.lost(LossCause::Timeout)),
        }
    }

    /// Takes an answer for what it is: the target's, an answer to another
    /// request, or the word that this one was not run.
    ///
    /// A faulty target sends an answer twice, and the second stands where the
    /// next request's is due: passed on, it would tell one caller what concerns
    /// another. The id shows it. The answer is dropped, which closes its
    /// connection, and nothing is known of the request.
    fn checked(
        self,
        res: Response<TargetBody>,
        id: Option<&HeaderValue>,
    ) -> Result<Response<Answer>, Missed> {
        let dialect = self.hub.shared.dialect();
        let echoed = res.headers().get(REQUEST_ID);
        let declined = dialect.declines(&res);
        let others = match echoed {
            Some(echoed) => id != Some(echoed),
            None => !declined,
        };
        let unsigned = !declined && dialect.lacks_signature(&res);
        if (dialect.echoes_id && others) || unsigned {
            return Err(self.lost(LossCause::AnswerInvalid));
        }
        if !declined {
            if let Some(named) = &self.life {
                self.hub.own_life.answered(named);
            }
            return Ok(self.answered(res));
        }
        let reason = match res.status() {
            StatusCode::MISDIRECTED_REQUEST => {
                self.note_other_life(&res);
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
        Err(take_back(self.running, refusal).into())
    }

    /// Learns from a target that declined a request which life it is.
    fn note_other_life(&self, res: &Response<TargetBody>) {
        let name = self.hub.shared.dialect().answering_life.as_ref();
        let answering = name.and_then(|name| res.headers().get(name));
        if let (Some(named), Some(answering)) = (&self.life, answering) {
            let now = self.hub.shared.clock().now();
            self.hub.own_life.declined(now, named, answering);
        }
    }

    fn answered(self, res: Response<TargetBody>) -> Response<Answer> {
        let clock = *self.hub.shared.clock();
        let stage = self.stage.begin_answer();
        let mut watched = self.watched;
        if let Some(watched) = &mut watched {
            watched.begins_answer(res.status());
        }
        let mut res = res.map(|body| body.holding(stage, clock, watched));
        head::strip_own(res.headers_mut());
        head::strip_connection(res.headers_mut());
        *res.version_mut() = Version::HTTP_11;
        let recorder = self
            .running
            .map(|running| Box::new(Recorder::new(running, &res, self.hub.max_stored)));
        res.map(|body| Answer::target(body.recorded(recorder)))
    }

    fn lost(self, cause: LossCause) -> Missed {
        let now = self.hub.shared.clock().now();
        if let Some(running) = self.running {
            running.mark_unknown(now);
        }
        self.stage.lose(now, cause).into()
    }
}

/// Leaves the key unused after a refusal.
pub(in crate::traffic) fn take_back(running: Option<RunPermit>, refusal: Refusal) -> Refusal {
    match running {
        Some(running) => running.release(refusal),
        None => refusal,
    }
}
