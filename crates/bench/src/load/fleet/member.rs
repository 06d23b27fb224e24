//! One instance of a running fleet.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitStatus;

use sassafrasspool_core::Instance;
use sassafrasspool_standin::Target;
use tokio::sync::Mutex;

use super::settings;
use super::settings::Listen;
use crate::load::LedgerRun;
use crate::load::Link;
use crate::load::NodeProcess;

/// A target with the node beside it.
#[derive(Debug)]
pub struct Member {
    /// Its number.
    pub n: usize,
    /// As the platform lists it.
    pub instance: Instance,
    /// Where its node takes calls from outside.
    pub ingress: SocketAddr,
    /// Where its node answers operators.
    pub admin: SocketAddr,
    /// Its target.
    pub target: Target,
    /// The links by which other nodes reach its node, if they can be held.
    pub links: Vec<Link>,
    /// Its node, unless that is down.
    pub node: Mutex<Option<NodeProcess>>,
    pub(super) listen: Listen,
    pub(super) settings: PathBuf,
    pub(super) log: PathBuf,
}

impl Member {
    /// Writes its node's settings.
    pub(super) fn write_settings(
        &self,
        platform: SocketAddr,
        seeds: &[SocketAddr],
        more: &str,
    ) -> std::io::Result<()> {
        let target = self.target.addr();
        let text = settings::text(&self.instance, self.listen, target, platform, seeds, more);
        std::fs::write(&self.settings, text)
    }

    /// Starts its node.
    ///
    /// # Errors
    ///
    /// Fails if the process can't be started.
    pub async fn start_node(&self) -> std::io::Result<()> {
        for link in &self.links {
            link.open().await?;
        }
        let node = NodeProcess::start(&self.settings, &self.log)?;
        *self.node.lock().await = Some(node);
        Ok(())
    }

    /// Kills its node.
    ///
    /// # Errors
    ///
    /// Fails if it can't be killed.
    pub async fn kill_node(&self) -> std::io::Result<()> {
        if let Some(node) = self.node.lock().await.take() {
            node.kill().await?;
        }
        self.close_links().await;
        Ok(())
    }

    /// Asks its node to drain and stop, and waits for its end. `None` if it
    /// was down.
    ///
    /// # Errors
    ///
    /// Fails if it can't be signalled.
    pub async fn stop_node(&self) -> std::io::Result<Option<ExitStatus>> {
        let Some(node) = self.node.lock().await.take() else {
            return Ok(None);
        };
        let status = node.stop().await?;
        self.close_links().await;
        Ok(Some(status))
    }

    async fn close_links(&self) {
        for link in &self.links {
            link.close().await;
        }
    }

    /// What its target ran.
    pub fn runs(&self) -> Vec<LedgerRun> {
        let runs = self.target.ledger().runs.into_iter();
        let instance = self.n;
        runs.map(|run| LedgerRun { instance, run }).collect()
    }
}
