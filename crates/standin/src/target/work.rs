//! Serves one request: answers a probe, refuses work or runs it.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header::CONNECTION;
use http::header::CONTENT_TYPE;
use http::header::TRANSFER_ENCODING;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use sassafrasspool_core::Error;
use sassafrasspool_wire::header::REQUEST_ID;
use sassafrasspool_wire::header::TARGET_LEAVING;
use sassafrasspool_wire::header::TARGET_RATE_LIMIT;
use tokio::sync::OwnedSemaphorePermit;

use super::HEALTH_PATH;
use super::LOAD_PATH;
use super::MALFORMED_HEADER;
use super::RECEIVED_BYTES_HEADER;
use super::answer::answer_body;
use super::answer_stream::AnswerStream;
use super::counters::increment;
use super::generation::Generation;
use super::health::Readiness;
use super::refusal::Refusal;
use super::run_guard::RunGuard;
use super::run_request::RunRequest;
use super::switches::ActiveSwitches;

type Answer = Response<AnswerStream>;

/// Answers one request.
pub(super) async fn serve(
    generation: Arc<Generation>,
    req: Request<Incoming>,
) -> Result<Answer, Infallible> {
    let shared = Arc::clone(&generation.shared);
    let mut answer = match req.uri().path() {
        HEALTH_PATH => health(&generation).await,
        LOAD_PATH => load(&generation).await,
        _ => run(generation, req).await,
    };
    add_statements(&mut answer, shared.switches());
    Ok(answer)
}

/// Adds what the target states about itself: its rate limit, and whether it leaves.
fn add_statements(answer: &mut Answer, switches: ActiveSwitches) {
    let headers = answer.headers_mut();
    if switches.rate_limit_per_s > 0.0
        && let Ok(value) = HeaderValue::try_from(switches.rate_limit_per_s.to_string())
    {
        headers.insert(TARGET_RATE_LIMIT, value);
    }
    if switches.leaving {
        headers.insert(TARGET_LEAVING, HeaderValue::from_static("1"));
    }
}

async fn health(generation: &Generation) -> Answer {
    probe(generation).await;
    let readiness = generation
        .shared
        .reported_health(generation.actual_health())
        .readiness;
    let status = match readiness {
        Readiness::Ready => StatusCode::OK,
        Readiness::Cold | Readiness::Draining => StatusCode::SERVICE_UNAVAILABLE,
    };
    plain(status, readiness.as_str())
}

async fn load(generation: &Generation) -> Answer {
    probe(generation).await;
    let load = generation
        .shared
        .reported_health(generation.actual_health())
        .load;
    let json = serde_json::to_string(&load).unwrap_or_default();
    let mut answer = Response::new(AnswerStream::text(json));
    let media_type = HeaderValue::from_static("application/json");
    answer.headers_mut().insert(CONTENT_TYPE, media_type);
    answer
}

async fn probe(generation: &Generation) {
    increment(&generation.shared.counters.probes);
    sleep_unless_zero(Duration::from_millis(generation.shared.cfg.probe_ms)).await;
}

async fn run(generation: Arc<Generation>, req: Request<Incoming>) -> Answer {
    let slot = match admit(&generation) {
        Ok(slot) => slot,
        Err(refusal) => return refuse(&generation, refusal),
    };
    let n = increment(&generation.shared.counters.taken);
    let (head, body) = req.into_parts();
    let request = match RunRequest::parse(&generation, &head, n) {
        Ok(request) => request,
        Err(err) => return malformed(&generation, &err),
    };
    let ledger = Arc::clone(&generation.shared.ledger);
    let mut guard = RunGuard::start(
        ledger,
        request.ledger_entry(&generation),
        generation.crash.clone(),
    );
    let Ok(received) = drain_body(body).await else {
        return plain(StatusCode::BAD_REQUEST, "request cut");
    };
    guard.begin_work(received);
    let job = Job {
        generation,
        request,
        guard,
        slot,
        received,
        n,
    };
    job.run_to_end().await
}

fn admit(generation: &Generation) -> Result<OwnedSemaphorePermit, Refusal> {
    match generation.readiness() {
        Readiness::Ready => {
            let slot = Arc::clone(&generation.shared.slots).try_acquire_owned();
            slot.map_err(|_| Refusal::Shed)
        }
        Readiness::Cold => Err(Refusal::Cold),
        Readiness::Draining => Err(Refusal::Draining),
    }
}

fn refuse(generation: &Generation, refusal: Refusal) -> Answer {
    increment(refusal.counter(&generation.shared.counters));
    let mut answer = plain(StatusCode::SERVICE_UNAVAILABLE, refusal.as_str());
    if refusal.closes_connection() {
        let close = HeaderValue::from_static("close");
        answer.headers_mut().insert(CONNECTION, close);
    }
    answer
}

fn malformed(generation: &Generation, err: &Error) -> Answer {
    increment(&generation.shared.counters.malformed);
    let mut answer = Response::new(AnswerStream::text(err.to_string()));
    *answer.status_mut() = StatusCode::BAD_REQUEST;
    answer
}

fn plain(status: StatusCode, text: &'static str) -> Answer {
    let mut answer = Response::new(AnswerStream::text(text));
    *answer.status_mut() = status;
    answer
}

async fn drain_body(mut body: Incoming) -> Result<u64, hyper::Error> {
    let mut received = 0;
    while let Some(frame) = body.frame().await {
        let len = frame?.data_ref().map_or(0, |data| data.len());
        received += u64::try_from(len).unwrap_or(u64::MAX);
    }
    Ok(received)
}

/// A completely received request that holds a slot.
#[derive(Debug)]
struct Job {
    generation: Arc<Generation>,
    request: RunRequest,
    guard: RunGuard,
    slot: OwnedSemaphorePermit,
    received: u64,
    n: u64,
}

impl Job {
    /// Runs the request and answers it. If the target doesn't honour cancellation,
    /// the work continues when this future is dropped.
    async fn run_to_end(self) -> Answer {
        if self.generation.shared.cfg.honours_cancellation {
            return self.work().await;
        }
        let crash = self.generation.crash.clone();
        let tasks = self.generation.tasks.clone();
        let work = async move { crash.run_until_cancelled(self.work()).await };
        let task = tasks.spawn(work);
        match task.await {
            Ok(Some(answer)) => answer,
            _ => plain(StatusCode::INTERNAL_SERVER_ERROR, "crashed"),
        }
    }

    async fn work(mut self) -> Answer {
        let crash_on = self.generation.shared.cfg.crash_on.as_ref();
        let crash_after = crash_on.and_then(|it| it.crash_delay(&self.request.path));
        if let Some(after) = crash_after {
            sleep_unless_zero(after).await;
            self.generation.crash_by_request();
            // The crash drops this future together with its connection or task.
            std::future::pending::<()>().await;
        }
        let work = sleep_unless_zero(self.request.service_time);
        let limit = self.request.timeout.unwrap_or(Duration::MAX);
        if tokio::time::timeout(limit, work).await.is_err() {
            self.guard
                .record_timeout(StatusCode::GATEWAY_TIMEOUT.as_u16());
            return plain(StatusCode::GATEWAY_TIMEOUT, "time is over");
        }
        self.guard.finish_work();
        let switches = self.generation.shared.switches();
        let cancel = self.generation.shared.cancel.clone();
        if switches.hang_after_run {
            self.guard.record_hang();
            cancel.cancelled().await;
        }
        let late = sleep_unless_zero(switches.late.delay(self.n));
        cancel.run_until_cancelled(late).await;
        self.answer(switches)
    }

    fn answer(mut self, switches: ActiveSwitches) -> Answer {
        if !switches.hang_after_run {
            self.guard.begin_answer(StatusCode::OK.as_u16());
        }
        let body = answer_body(&self.request.id, self.request.answer_bytes);
        let mut stream = AnswerStream::answer(body, self.guard, self.slot);
        if switches.cut_body || switches.hang_after_run {
            stream = stream.cut_in_half();
        }
        let mut answer = Response::new(stream);
        let headers = answer.headers_mut();
        headers.insert(RECEIVED_BYTES_HEADER, HeaderValue::from(self.received));
        if let Ok(id) = HeaderValue::from_str(&self.request.id) {
            headers.insert(REQUEST_ID, id);
        }
        if switches.malformed {
            malform(&mut answer, self.n);
        }
        answer
    }
}

/// Gives an answer one of the malformed heads that the HTTP library can write, by turns.
fn malform(answer: &mut Answer, n: u64) {
    match n.is_multiple_of(2) {
        true => *answer.status_mut() = StatusCode::from_u16(600).unwrap_or_default(),
        false => {
            // The HTTP library adds chunked.
            let coding = HeaderValue::from_static("gzip");
            answer.headers_mut().insert(TRANSFER_ENCODING, coding);
        }
    }
    let marker = HeaderValue::from_static("1");
    answer.headers_mut().insert(MALFORMED_HEADER, marker);
}

/// Sleeps, unless `time` is zero. The runtime's timer would round zero up to a
/// millisecond, which is more than a call through two nodes takes.
async fn sleep_unless_zero(time: Duration) {
    if !time.is_zero() {
        tokio::time::sleep(time).await;
    }
}
