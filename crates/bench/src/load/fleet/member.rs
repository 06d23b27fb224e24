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

/// A target and its node.
#[derive(Debug)]
pub struct Member {
    /// Its number.
    pub n: usize,
    /// Its entry in the instance list.
    pub instance: Instance,
    /// The address of its node for callers.
    pub ingress: SocketAddr,
    /// The admin address of its node.
    pub admin: SocketAddr,
    /// Its target.
    pub target: Target,
    /// The links through which other nodes reach its node; empty if the fleet has no
    /// links.
    pub links: Vec<Link>,
    /// Its node, if it is running.
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
        extra: &str,
    ) -> std::io::Result<()> {
        let target = self.target.addr();
        let text =
            settings::node_settings(&self.instance, self.listen, target, platform, seeds, extra);
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

    /// Drains its node and waits until it exits. `None` if it wasn't running.
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

    /// The runs in its target's ledger.
    pub fn runs(&self) -> Vec<LedgerRun> {
        let runs = self.target.ledger().runs.into_iter();
        let instance = self.n;
        runs.map(|run| LedgerRun { instance, run }).collect()
    }
}
