//! Starting, crashing and restarting a target.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use sassafrasspool_core::Result;
use tokio::sync::Mutex;
use tokio_util::sync::CancellationToken;

use super::life::Life;
use super::listener;
use super::listener::Reservation;
use super::settings::TargetSettings;
use super::shared::Shared;
use super::switches::TargetSwitches;

/// How often a life that was crashed from outside is looked at.
const LOOK: Duration = Duration::from_millis(10);

/// The target's lives, of which at most one runs.
#[derive(Debug)]
pub(super) struct Control {
    shared: Arc<Shared>,
    port: Reservation,
    newest: Mutex<Arc<Life>>,
}

impl Control {
    /// Starts the first life.
    pub(super) async fn start(cfg: TargetSettings, cancel: CancellationToken) -> Result<Control> {
        let port = Reservation::take(cfg.listen)?;
        let shared = Arc::new(Shared::new(cfg, cancel));
        let newest = Mutex::new(start(&shared, &port, 1)?);
        Ok(Control {
            shared,
            port,
            newest,
        })
    }

    /// What all lives share.
    pub(super) fn shared(&self) -> &Shared {
        &self.shared
    }

    /// Where the target serves.
    pub(super) fn addr(&self) -> SocketAddr {
        self.port.addr()
    }

    /// Turns switches.
    pub(super) async fn switch(&self, switches: &TargetSwitches) {
        let so = self.newest.lock().await.health();
        self.shared.switch(switches, so);
    }

    /// Drops all connections and refuses new ones; done when it returns.
    pub(super) async fn crash(&self) {
        crash(&*self.newest.lock().await).await;
    }

    /// Starts the next life, after a crash of the one that runs.
    pub(super) async fn restart(&self) -> Result<()> {
        let mut newest = self.newest.lock().await;
        self.succeed(&mut newest).await
    }

    /// Starts the next life whenever a request has crashed the newest.
    pub(super) async fn keep_up(&self) {
        let Some(crash_on) = &self.shared.cfg.crash_on else {
            return;
        };
        loop {
            let life = Arc::clone(&*self.newest.lock().await);
            life.crash.cancelled().await;
            if !life.has_fallen() {
                // Whoever crashed it starts it again.
                tokio::time::sleep(LOOK).await;
                continue;
            }
            tokio::time::sleep(crash_on.down()).await;
            let mut newest = self.newest.lock().await;
            // Unless somebody else has started the next meanwhile.
            if Arc::ptr_eq(&newest, &life)
                && let Err(err) = self.succeed(&mut newest).await
            {
                tracing::warn!(%err, "not started again");
            }
        }
    }

    async fn succeed(&self, newest: &mut Arc<Life>) -> Result<()> {
        crash(newest).await;
        *newest = start(&self.shared, &self.port, newest.incarnation + 1)?;
        Ok(())
    }

    /// Waits until the newest life has ended.
    pub(super) async fn stopped(&self) {
        let tasks = self.newest.lock().await.tasks.clone();
        tasks.wait().await;
    }
}

fn start(shared: &Arc<Shared>, port: &Reservation, incarnation: u32) -> Result<Arc<Life>> {
    let life = Arc::new(Life::new(Arc::clone(shared), incarnation));
    let listener = port.listen()?;
    life.tasks
        .spawn(listener::accept(listener, Arc::clone(&life)));
    life.tasks.close();
    tracing::info!(incarnation, addr = %port.addr(), "target started");
    Ok(life)
}

async fn crash(life: &Life) {
    life.crash.cancel();
    life.tasks.wait().await;
    tracing::info!(incarnation = life.incarnation, "target crashed");
}
