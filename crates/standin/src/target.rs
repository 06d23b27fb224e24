//! The target stand-in: a back end with few slots and a ledger, which
//! simulates the faults of real back ends.

mod admin_api;
mod answer;
mod answer_stream;
mod clock;
mod counters;
mod crash_on;
mod generation;
mod health;
mod ledger;
mod listener;
mod open_connection;
mod refusal;
mod run;
mod run_guard;
mod run_request;
mod service_times;
mod settings;
mod shared;
mod supervisor;
mod switches;
mod work;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::HeaderName;
use sassafrasspool_core::Result;
use tokio_util::sync::CancellationToken;
use tokio_util::sync::DropGuard;
use tokio_util::task::TaskTracker;

pub use self::answer::answer_body;
pub use self::answer::answer_pattern;
pub use self::counters::TargetStats;
pub use self::crash_on::CrashOn;
pub use self::health::Load;
pub use self::ledger::LedgerEntries;
pub use self::run::Run;
pub use self::run::RunEnd;
pub use self::run_request::ANSWER_BYTES_HEADER;
pub use self::run_request::KIND_HEADER;
pub use self::run_request::MAX_ANSWER_BYTES;
pub use self::service_times::ServiceTimes;
pub use self::settings::TargetSettings;
pub use self::switches::HealthReport;
pub use self::switches::LateAnswers;
pub use self::switches::TargetSwitches;

use self::supervisor::Supervisor;
use crate::serve;

/// Header of answers with the length of the request body in bytes.
pub const RECEIVED_BYTES_HEADER: HeaderName = HeaderName::from_static("x-received-bytes");

/// Marks answers whose head is malformed on purpose. No caller may receive one.
pub const MALFORMED_HEADER: HeaderName = HeaderName::from_static("x-malformed");

/// The path of the health probe. It answers 200 if the target accepts work and
/// 503 otherwise, unless a [`HealthReport`] overrides that.
pub const HEALTH_PATH: &str = "/healthz";

/// The path of the load probe. It answers with a [`Load`] as JSON, which a
/// [`HealthReport`] may override.
pub const LOAD_PATH: &str = "/load";

/// A running target stand-in; it stops when dropped.
///
/// # Example
///
/// ```
/// use sassafrasspool_standin::Target;
/// use sassafrasspool_standin::TargetSettings;
/// use tokio_util::sync::CancellationToken;
///
/// # #[tokio::main]
/// # async fn main() -> sassafrasspool_core::Result<()> {
/// let target = Target::start(TargetSettings::default(), CancellationToken::new()).await?;
/// target.crash().await;
/// target.restart().await?;
/// assert!(target.ledger().runs.is_empty());
/// target.stop().await;
/// # Ok(())
/// # }
/// ```
#[derive(Debug)]
pub struct Target {
    supervisor: Arc<Supervisor>,
    admin_addr: SocketAddr,
    tasks: TaskTracker,
    guard: DropGuard,
}

impl Target {
    /// Binds both ports and begins the first cold start.
    ///
    /// # Errors
    ///
    /// Fails if a port can't be bound.
    pub async fn start(cfg: TargetSettings, cancel: CancellationToken) -> Result<Target> {
        let cancel = cancel.child_token();
        let (admin, admin_addr) = serve::bind(cfg.admin).await?;
        let supervisor = Arc::new(Supervisor::start(cfg, cancel.clone()).await?);
        let tasks = TaskTracker::new();
        let router = admin_api::router(Arc::clone(&supervisor));
        tasks.spawn(serve::serve(admin, router, cancel.clone()));
        let supervised = Arc::clone(&supervisor);
        let until = cancel.clone();
        tasks.spawn(async move {
            until
                .run_until_cancelled(supervised.restart_after_crashes())
                .await;
        });
        tasks.close();
        let guard = cancel.drop_guard();
        Ok(Target {
            supervisor,
            admin_addr,
            tasks,
            guard,
        })
    }

    /// The address at which the target serves requests.
    pub fn addr(&self) -> SocketAddr {
        self.supervisor.addr()
    }

    /// The address of the admin port.
    pub fn admin_addr(&self) -> SocketAddr {
        self.admin_addr
    }

    /// A copy of the ledger over all generations, including unfinished runs.
    pub fn ledger(&self) -> LedgerEntries {
        self.supervisor.shared().ledger.copy()
    }

    /// Counts since the first start.
    pub fn stats(&self) -> TargetStats {
        self.supervisor.shared().stats()
    }

    /// Applies the switches that are present, as the admin port does.
    pub async fn apply_switches(&self, switches: &TargetSwitches) {
        self.supervisor.apply_switches(switches).await;
    }

    /// Resets all connections and refuses new ones. All runs have ended when
    /// this returns.
    pub async fn crash(&self) {
        self.supervisor.crash().await;
    }

    /// Starts the next generation on the same port, with a cold start. A running
    /// generation is crashed first. The switches and the ledger are kept.
    ///
    /// # Errors
    ///
    /// Fails if the port can't be listened on again.
    pub async fn restart(&self) -> Result<()> {
        self.supervisor.restart().await
    }

    /// Begins or ends draining: new work is refused, and runs in progress finish.
    pub async fn set_drain(&self, drain: bool) {
        self.apply_switches(&TargetSwitches {
            drain: Some(drain),
            ..TargetSwitches::default()
        })
        .await;
    }

    /// Makes each run take longer by `extra`, in whole milliseconds.
    pub async fn set_slow(&self, extra: Duration) {
        let slow_ms = Some(whole_ms(extra));
        self.apply_switches(&TargetSwitches {
            slow_ms,
            ..TargetSwitches::default()
        })
        .await;
    }

    /// Delays one answer in `every` by `by`, in whole milliseconds; none if
    /// `every` is 0. The work itself isn't delayed.
    pub async fn set_late_answers(&self, every: u64, by: Duration) {
        let late = Some(LateAnswers {
            every,
            by_ms: whole_ms(by),
        });
        self.apply_switches(&TargetSwitches {
            late,
            ..TargetSwitches::default()
        })
        .await;
    }

    /// Sets what the health and load endpoints report.
    pub async fn set_health_report(&self, report: HealthReport) {
        let health = Some(report);
        self.apply_switches(&TargetSwitches {
            health,
            ..TargetSwitches::default()
        })
        .await;
    }

    /// Begins or ends completing the work without ever answering.
    pub async fn set_hang_after_run(&self, hang: bool) {
        let hang_after_run = Some(hang);
        self.apply_switches(&TargetSwitches {
            hang_after_run,
            ..TargetSwitches::default()
        })
        .await;
    }

    /// Sets the rate limit in requests a second that each answer states; 0 for none.
    pub async fn set_rate_limit(&self, per_s: f64) {
        self.apply_switches(&TargetSwitches {
            rate_limit_per_s: Some(per_s),
            ..TargetSwitches::default()
        })
        .await;
    }

    /// Begins or ends stating in each answer that the target leaves.
    pub async fn set_leaving(&self, leaving: bool) {
        self.apply_switches(&TargetSwitches {
            leaving: Some(leaving),
            ..TargetSwitches::default()
        })
        .await;
    }

    /// Begins or ends cutting each answer off after half of its body.
    pub async fn set_cut_body(&self, cut: bool) {
        self.apply_switches(&TargetSwitches {
            cut_body: Some(cut),
            ..TargetSwitches::default()
        })
        .await;
    }

    /// Begins or ends answering with malformed heads.
    pub async fn set_malformed(&self, malformed: bool) {
        self.apply_switches(&TargetSwitches {
            malformed: Some(malformed),
            ..TargetSwitches::default()
        })
        .await;
    }

    /// Stops gracefully: accepts no more connections, finishes runs in progress
    /// and closes.
    pub async fn stop(self) {
        let Target {
            supervisor,
            tasks,
            guard,
            ..
        } = self;
        drop(guard);
        supervisor.stopped().await;
        tasks.wait().await;
    }

    /// Waits until the token passed to [`Target::start`] has stopped the target.
    pub async fn stopped(&self) {
        self.tasks.wait().await;
        self.supervisor.stopped().await;
    }
}

fn whole_ms(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
