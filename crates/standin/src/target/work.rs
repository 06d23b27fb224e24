//! Serving one request: a probe, a refusal or a run.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header::CONNECTION;
use http::header::CONTENT_TYPE;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use sassafrasspool_core::Error;
use sassafrasspool_wire::header::REQUEST_ID;
use tokio::sync::OwnedSemaphorePermit;

use super::HEALTH_PATH;
use super::LOAD_PATH;
use super::RECEIVED_BYTES_HEADER;
use super::answer::answer_body;
use super::answer_stream::AnswerStream;
use super::counters::count;
use super::health::Readiness;
use super::life::Life;
use super::order::Order;
use super::refusal::Refusal;
use super::run_guard::RunGuard;
use super::switches::Switched;

type Answer = Response<AnswerStream>;

/// Answers one request.
pub(super) async fn serve(life: Arc<Life>, req: Request<Incoming>) -> Result<Answer, Infallible> {
    let answer = match req.uri().path() {
        HEALTH_PATH => health(&life).await,
        LOAD_PATH => load(&life).await,
        _ => run(life, req).await,
    };
    Ok(answer)
}

async fn health(life: &Life) -> Answer {
    probe(life).await;
    let readiness = life.shared.reported(life.health()).readiness;
    let status = match readiness {
        Readiness::Ready => StatusCode::OK,
        Readiness::Cold | Readiness::Draining => StatusCode::SERVICE_UNAVAILABLE,
    };
    plain(status, readiness.as_str())
}

async fn load(life: &Life) -> Answer {
    probe(life).await;
    let load = life.shared.reported(life.health()).load;
    let json = serde_json::to_string(&load).unwrap_or_default();
    let mut answer = Response::new(AnswerStream::text(json));
    let media_type = HeaderValue::from_static("application/json");
    answer.headers_mut().insert(CONTENT_TYPE, media_type);
    answer
}

async fn probe(life: &Life) {
    count(&life.shared.counters.probes);
    wait(Duration::from_millis(life.shared.cfg.probe_ms)).await;
}

async fn run(life: Arc<Life>, req: Request<Incoming>) -> Answer {
    let slot = match admit(&life) {
        Ok(slot) => slot,
        Err(refusal) => return refuse(&life, refusal),
    };
    let n = count(&life.shared.counters.taken);
    let (head, body) = req.into_parts();
    let order = match Order::read(&life, &head, n) {
        Ok(order) => order,
        Err(err) => return malformed(&life, &err),
    };
    let ledger = Arc::clone(&life.shared.ledger);
    let mut guard = RunGuard::receive(ledger, order.run(&life), life.crash.clone());
    let Ok(received) = count_bytes(body).await else {
        return plain(StatusCode::BAD_REQUEST, "request cut");
    };
    guard.begin(received);
    let job = Job {
        life,
        order,
        guard,
        slot,
        received,
        n,
    };
    job.run_to_end().await
}

fn admit(life: &Life) -> Result<OwnedSemaphorePermit, Refusal> {
    match life.readiness() {
        Readiness::Ready => {
            let slot = Arc::clone(&life.shared.slots).try_acquire_owned();
            slot.map_err(|_| Refusal::Shed)
        }
        Readiness::Cold => Err(Refusal::Cold),
        Readiness::Draining => Err(Refusal::Draining),
    }
}

fn refuse(life: &Life, refusal: Refusal) -> Answer {
    count(refusal.counter(&life.shared.counters));
    let mut answer = plain(StatusCode::SERVICE_UNAVAILABLE, refusal.as_str());
    if refusal.closes() {
        let close = HeaderValue::from_static("close");
        answer.headers_mut().insert(CONNECTION, close);
    }
    answer
}

fn malformed(life: &Life, err: &Error) -> Answer {
    count(&life.shared.counters.malformed);
    let mut answer = Response::new(AnswerStream::text(err.to_string()));
    *answer.status_mut() = StatusCode::BAD_REQUEST;
    answer
}

fn plain(status: StatusCode, text: &'static str) -> Answer {
    let mut answer = Response::new(AnswerStream::text(text));
    *answer.status_mut() = status;
    answer
}

async fn count_bytes(mut body: Incoming) -> Result<u64, hyper::Error> {
    let mut received = 0;
    while let Some(frame) = body.frame().await {
        let len = frame?.data_ref().map_or(0, |data| data.len());
        received += u64::try_from(len).unwrap_or(u64::MAX);
    }
    Ok(received)
}

/// A request that is here whole and has its slot.
#[derive(Debug)]
struct Job {
    life: Arc<Life>,
    order: Order,
    guard: RunGuard,
    slot: OwnedSemaphorePermit,
    received: u64,
    n: u64,
}

impl Job {
    /// Runs and answers. If the target doesn't honour cancellation, the work
    /// goes on when this future is dropped.
    async fn run_to_end(self) -> Answer {
        if self.life.shared.cfg.honours_cancellation {
            return self.work().await;
        }
        let crash = self.life.crash.clone();
        let tasks = self.life.tasks.clone();
        let work = async move { crash.run_until_cancelled(self.work()).await };
        let task = tasks.spawn(work);
        match task.await {
            Ok(Some(answer)) => answer,
            _ => plain(StatusCode::INTERNAL_SERVER_ERROR, "crashed"),
        }
    }

    async fn work(mut self) -> Answer {
        let crash_on = self.life.shared.cfg.crash_on.as_ref();
        let crashes = crash_on.and_then(|it| it.crashes_after(&self.order.path));
        if let Some(after) = crashes {
            wait(after).await;
            self.life.fall();
            // The crash drops this future with its connection.
            std::future::pending::<()>().await;
        }
        let work = wait(self.order.service_time);
        let limit = self.order.timeout.unwrap_or(Duration::MAX);
        if tokio::time::timeout(limit, work).await.is_err() {
            self.guard.time_out(StatusCode::GATEWAY_TIMEOUT.as_u16());
            return plain(StatusCode::GATEWAY_TIMEOUT, "time is over");
        }
        self.guard.worked();
        let switched = self.life.shared.switched();
        let cancel = self.life.shared.cancel.clone();
        if switched.hang_after_run {
            self.guard.hang();
            cancel.cancelled().await;
        }
        let late = wait(switched.late.delay(self.n));
        cancel.run_until_cancelled(late).await;
        self.answer(switched)
    }

    fn answer(mut self, switched: Switched) -> Answer {
        if !switched.hang_after_run {
            self.guard.answer(StatusCode::OK.as_u16());
        }
        let body = answer_body(&self.order.id, self.order.answer_bytes);
        let mut stream = AnswerStream::answer(body, self.guard, self.slot);
        if switched.cut_body || switched.hang_after_run {
            stream = stream.cut_in_half();
        }
        let mut answer = Response::new(stream);
        let headers = answer.headers_mut();
        headers.insert(RECEIVED_BYTES_HEADER, HeaderValue::from(self.received));
        if let Ok(id) = HeaderValue::from_str(&self.order.id) {
            headers.insert(REQUEST_ID, id);
        }
        answer
    }
}

/// Waits, unless there is nothing to wait for: the runtime's timer would make
/// a millisecond of that, more than what a call through two nodes takes.
async fn wait(time: Duration) {
    if !time.is_zero() {
        tokio::time::sleep(time).await;
    }
}
