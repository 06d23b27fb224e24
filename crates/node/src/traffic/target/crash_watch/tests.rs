use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rstest::rstest;
use sassafrasspool_core::Content;

use super::CrashWatch;
use super::MIN_BROKEN;
use super::RunKey;
use crate::traffic::target::Pool;
use crate::traffic::target::pool::OpenGuard;

/// Where no target listens; no connection is opened.
const TARGET: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 9);

/// What happens to another request that ran when a connection broke, and to its connection.
#[derive(Debug, Clone, Copy)]
enum Other {
    /// None ran.
    None,
    /// It starts so many milliseconds later, and its connection breaks at once.
    StartsAndBreaksAfter(u64),
    /// The node notices so many milliseconds later that its connection broke.
    BreaksAfter(u64),
    /// Its connection breaks so many milliseconds later, after a request was started on a
    /// new connection, which stays open.
    BreaksBesideNewConnection(u64),
    /// The target answers it so many milliseconds later, and keeps the connection.
    IsAnsweredAfter(u64),
    /// The target answers it at once, and its connection closes so many milliseconds later.
    IsAnsweredAndCloses(u64),
}

#[derive(Debug)]
struct Case {
    other: Other,
    /// The fewest connections that must have broken.
    min_broken: usize,
    /// Whether the target has answered a request since its last crash.
    answered: bool,
    crashed: bool,
}

/// A request on a connection of its own.
struct Run {
    key: RunKey,
    content: Content,
    conn: OpenGuard,
}

/// Starts a request for `path`.
fn start(watch: &CrashWatch, pool: &Arc<Pool>, path: &str) -> Run {
    let content = Content::of("GET", "desk.example", path, None, b"");
    let conn = OpenGuard::try_new(pool, 0).expect("room for a connection");
    Run {
        key: watch.lock().start_run(content, pool.last_connection()),
        content,
        conn,
    }
}

/// Breaks the connection of a request. Does nothing if its diagnosis is over.
fn break_connection(watch: &CrashWatch, pool: &Pool, run: Run) {
    let mut state = watch.lock();
    state.record_break(run.key, false, pool.last_connection());
    state.end_run(run.key);
    drop(state);
    drop(run.conn);
}

fn answer(watch: &CrashWatch, run: &Run) {
    let mut state = watch.lock();
    state.clear_suspect(run.key);
    state.end_run(run.key);
}

async fn wait(ms: u64) {
    tokio::time::sleep(Duration::from_millis(ms)).await;
}

/// Guards against a crash that isn't reported because a busy node notices one broken
/// connection later than another or probes a target that has restarted, and against crash
/// reports about running targets.
#[rstest]
#[case::at_once(Case { other: Other::BreaksAfter(0), min_broken: 0, answered: true, crashed: true })]
#[case::noticed_late(Case { other: Other::BreaksAfter(200), min_broken: 0, answered: true, crashed: true })]
#[case::continues(Case { other: Other::BreaksAfter(5_000), min_broken: 0, answered: true, crashed: false })]
#[case::answers(Case { other: Other::IsAnsweredAfter(200), min_broken: 0, answered: true, crashed: false })]
#[case::still_down(Case { other: Other::BreaksAfter(0), min_broken: 0, answered: false, crashed: false })]
#[case::restarted(Case { other: Other::BreaksAfter(200), min_broken: MIN_BROKEN, answered: true, crashed: true })]
#[case::noticed_after_a_new_connection(Case { other: Other::BreaksBesideNewConnection(200), min_broken: MIN_BROKEN, answered: true, crashed: true })]
#[case::aborted_alone(Case { other: Other::None, min_broken: MIN_BROKEN, answered: true, crashed: false })]
#[case::aborted_one_by_one(Case { other: Other::StartsAndBreaksAfter(50), min_broken: MIN_BROKEN, answered: true, crashed: false })]
#[case::closes_after_an_answer(Case { other: Other::IsAnsweredAndCloses(0), min_broken: MIN_BROKEN, answered: true, crashed: false })]
#[case::answered_before(Case { other: Other::IsAnsweredAndCloses(200), min_broken: 0, answered: true, crashed: true })]
#[tokio::test(start_paused = true)]
async fn a_target_has_crashed_if_all_its_connections_close(#[case] case: Case) {
    let watch = CrashWatch::default();
    watch.lock().answered = case.answered;
    let pool = Pool::new(TARGET, 10);
    let broken = start(&watch, &pool, "/covers/7");
    let runs_beside = !matches!(case.other, Other::None | Other::StartsAndBreaksAfter(_));
    let other = runs_beside.then(|| start(&watch, &pool, "/covers/8"));
    let mut suspects = vec![broken.content];
    if matches!(
        case.other,
        Other::BreaksAfter(_) | Other::BreaksBesideNewConnection(_)
    ) {
        suspects.extend(other.as_ref().map(|run| run.content));
    }
    break_connection(&watch, &pool, broken);
    let fate = async {
        if let Other::StartsAndBreaksAfter(ms) = case.other {
            wait(ms).await;
            let other = start(&watch, &pool, "/covers/8");
            break_connection(&watch, &pool, other);
        }
        let Some(other) = other else { return };
        match case.other {
            Other::None | Other::StartsAndBreaksAfter(_) => {}
            Other::BreaksAfter(ms) => {
                wait(ms).await;
                if watch.lock().suspects.is_some() {
                    break_connection(&watch, &pool, other);
                }
            }
            Other::BreaksBesideNewConnection(ms) => {
                let later = start(&watch, &pool, "/covers/9");
                wait(ms).await;
                break_connection(&watch, &pool, other);
                wait(5_000).await;
                answer(&watch, &later);
            }
            Other::IsAnsweredAfter(ms) => {
                wait(ms).await;
                answer(&watch, &other);
                wait(5_000).await;
            }
            Other::IsAnsweredAndCloses(ms) => {
                answer(&watch, &other);
                wait(ms).await;
            }
        }
    };
    let diagnosis = async {
        let (_, crashed) = watch.wait_for_crash(&pool, case.min_broken).await;
        crashed.then(|| watch.take_crash(0))
    };
    let (contents, ()) = tokio::join!(diagnosis, fate);
    assert_eq!(contents, case.crashed.then_some(suspects), "{case:?}");
    assert!(watch.lock().suspects.is_none(), "{case:?}");
}

/// Guards against a crash during the diagnosis of an earlier broken connection that isn't
/// reported, or is reported with the requests of the earlier one.
#[tokio::test(start_paused = true)]
async fn a_crash_during_a_diagnosis_is_reported() {
    let watch = CrashWatch::default();
    watch.lock().answered = true;
    let pool = Pool::new(TARGET, 10);
    let survivor = start(&watch, &pool, "/covers/1");
    let aborted = start(&watch, &pool, "/covers/2");
    let survivor_content = survivor.content;
    let aborted_content = aborted.content;
    break_connection(&watch, &pool, aborted);
    let events = async {
        wait(300).await;
        let aborted = start(&watch, &pool, "/covers/3");
        break_connection(&watch, &pool, aborted);
        wait(300).await;
        let crashing = start(&watch, &pool, "/covers/4");
        wait(100).await;
        break_connection(&watch, &pool, crashing);
        break_connection(&watch, &pool, survivor);
    };
    let diagnosis = watch.wait_for_crash(&pool, MIN_BROKEN);
    let ((_, crashed), ()) = tokio::join!(diagnosis, events);
    assert!(crashed);
    let contents = watch.take_crash(0);
    assert!(contents.contains(&survivor_content), "{contents:?}");
    assert!(!contents.contains(&aborted_content), "{contents:?}");
}

/// Guards against a crash report about requests that were lost with a target that was down,
/// since the target has answered others by the time of the diagnosis.
#[tokio::test(start_paused = true)]
async fn requests_lost_before_the_target_answers_are_no_evidence() {
    let watch = CrashWatch::default();
    let pool = Pool::new(TARGET, 10);
    for path in ["/covers/1", "/covers/2", "/covers/3"] {
        let lost = start(&watch, &pool, path);
        break_connection(&watch, &pool, lost);
    }
    watch.lock().answered = true;
    let (_, crashed) = watch.wait_for_crash(&pool, 0).await;
    assert!(!crashed);
}

/// Guards against a crash report that names the requests that were lost while the target was
/// down in place of those that ran when it crashed.
#[tokio::test(start_paused = true)]
async fn requests_lost_after_a_crash_are_no_suspects() {
    let watch = CrashWatch::default();
    watch.lock().answered = true;
    let pool = Pool::new(TARGET, 10);
    let crashing = start(&watch, &pool, "/covers/1");
    let beside = start(&watch, &pool, "/covers/2");
    let suspects = vec![crashing.content, beside.content];
    break_connection(&watch, &pool, crashing);
    let events = async {
        for path in ["/covers/3", "/covers/4"] {
            wait(20).await;
            let lost = start(&watch, &pool, path);
            wait(20).await;
            break_connection(&watch, &pool, lost);
        }
        break_connection(&watch, &pool, beside);
    };
    let diagnosis = watch.wait_for_crash(&pool, MIN_BROKEN);
    let ((_, crashed), ()) = tokio::join!(diagnosis, events);
    assert!(crashed);
    assert_eq!(watch.take_crash(0), suspects);
}
