//! Starts, crashes and restarts a target.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use sassafrasspool_core::Result;
use tokio::sync::Mutex;
use tokio_util::sync::CancellationToken;

use super::generation::Generation;
use super::listener;
use super::listener::PortReservation;
use super::settings::TargetSettings;
use super::shared::Shared;
use super::switches::TargetSwitches;

/// The interval of checks for a restart after a crash that no request caused.
const CRASH_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Runs at most one generation of the target at a time.
#[derive(Debug)]
pub(super) struct Supervisor {
    shared: Arc<Shared>,
    port: PortReservation,
    current: Mutex<Arc<Generation>>,
}

impl Supervisor {
    /// Starts the first generation.
    pub(super) async fn start(
        cfg: TargetSettings,
        cancel: CancellationToken,
    ) -> Result<Supervisor> {
        let port = PortReservation::reserve(cfg.listen)?;
        let shared = Arc::new(Shared::new(cfg, cancel));
        let current = Mutex::new(start(&shared, &port, 1)?);
        Ok(Supervisor {
            shared,
            port,
            current,
        })
    }

    /// The state shared by all generations.
    pub(super) fn shared(&self) -> &Shared {
        &self.shared
    }

    /// The address at which the target serves requests.
    pub(super) fn addr(&self) -> SocketAddr {
        self.port.addr()
    }

    /// Applies the switches that are present.
    pub(super) async fn apply_switches(&self, switches: &TargetSwitches) {
        let actual = self.current.lock().await.actual_health();
        self.shared.apply_switches(switches, actual);
    }

    /// Resets all connections and refuses new ones; complete when it returns.
    pub(super) async fn crash(&self) {
        crash(&*self.current.lock().await).await;
    }

    /// Crashes the current generation and starts the next one.
    pub(super) async fn restart(&self) -> Result<()> {
        let mut current = self.current.lock().await;
        self.start_next(&mut current).await
    }

    /// Starts the next generation whenever a request has crashed the current one.
    pub(super) async fn restart_after_crashes(&self) {
        let Some(crash_on) = &self.shared.cfg.crash_on else {
            return;
        };
        loop {
            let generation = Arc::clone(&*self.current.lock().await);
            generation.crash.cancelled().await;
            if !generation.was_crashed_by_request() {
                // The caller of `crash` is responsible for the restart.
                tokio::time::sleep(CRASH_POLL_INTERVAL).await;
                continue;
            }
            tokio::time::sleep(crash_on.down()).await;
            let mut current = self.current.lock().await;
            // Another task may have started the next generation in the meantime.
            if Arc::ptr_eq(&current, &generation)
                && let Err(err) = self.start_next(&mut current).await
            {
                tracing::warn!(%err, "cannot restart the target after a crash");
            }
        }
    }

    async fn start_next(&self, current: &mut Arc<Generation>) -> Result<()> {
        crash(current).await;
        *current = start(&self.shared, &self.port, current.number + 1)?;
        Ok(())
    }

    /// Waits until the current generation has ended.
    pub(super) async fn stopped(&self) {
        let tasks = self.current.lock().await.tasks.clone();
        tasks.wait().await;
    }
}

fn start(
    shared: &Arc<Shared>,
    port: &PortReservation,
    incarnation: u32,
) -> Result<Arc<Generation>> {
    let generation = Arc::new(Generation::new(Arc::clone(shared), incarnation));
    let listener = port.listen()?;
    generation.tasks.spawn(listener::serve_connections(
        listener,
        Arc::clone(&generation),
    ));
    generation.tasks.close();
    tracing::info!(incarnation, addr = %port.addr(), "target started");
    Ok(generation)
}

async fn crash(generation: &Generation) {
    generation.crash.cancel();
    generation.tasks.wait().await;
    tracing::info!(incarnation = generation.number, "target crashed");
}
