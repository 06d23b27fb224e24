//! One instance of a run, with its processes and links.

use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use rustix::process::Signal;
use sassafrasspool_bench::load::Link;
use sassafrasspool_core::Instance;
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::time::Instant;

use super::READY_TIMEOUT;
use crate::child::Child;
use crate::schedule::LinkRole;
use crate::standin::StandIn;

/// The program of the node.
const NODE_PROGRAM: &str = "sassafrasspool-node";

/// The time between two connection attempts to a node that doesn't listen yet.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// One instance: a target, its node, and the links to and from them.
#[derive(Debug)]
pub struct Member {
    /// The entry of the instance in the list of the platform.
    pub instance: Instance,
    /// The address at which callers reach the node directly.
    pub ingress: SocketAddr,
    /// The address at which callers reach the node through a link. A link can't refuse a
    /// connection as an ended process does. Lost requests at a planned stop are therefore
    /// judged by the callers without a link.
    pub linked_ingress: SocketAddr,
    /// The admin address of the node.
    pub admin: SocketAddr,
    /// The target.
    pub target: StandIn,
    pub(super) links: [Link; 5],
    pub(super) node: Mutex<Option<Child>>,
    pub(super) settings: PathBuf,
    pub(super) log: PathBuf,
}

impl Member {
    /// The link with this role.
    pub fn link(&self, role: LinkRole) -> &Link {
        &self.links[role as usize]
    }

    /// Starts the node, and opens the links to it after it listens: a link that is open
    /// earlier accepts connections that the system would have refused.
    ///
    /// # Errors
    ///
    /// Fails if the process can't be started or doesn't listen in time.
    pub async fn start_node(&self) -> std::io::Result<()> {
        let args = [
            OsString::from("--settings"),
            self.settings.clone().into_os_string(),
        ];
        let node = Child::start(NODE_PROGRAM, &args, &self.log)?;
        *self.node.lock().await = Some(node);
        let end = Instant::now() + READY_TIMEOUT;
        while let Err(err) = TcpStream::connect(self.ingress).await {
            if Instant::now() >= end {
                return Err(err);
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        for role in [
            LinkRole::PeerTraffic,
            LinkRole::PeerControl,
            LinkRole::Callers,
        ] {
            self.link(role).open().await?;
        }
        Ok(())
    }

    /// Kills the node, if it runs.
    ///
    /// # Errors
    ///
    /// Fails if the process can't be killed.
    pub async fn kill_node(&self) -> std::io::Result<()> {
        if let Some(node) = self.node.lock().await.take() {
            node.kill().await?;
        }
        self.close_links().await;
        Ok(())
    }

    /// Stops the node by SIGTERM and waits for its exit. Returns whether it reported by its
    /// exit code that it cut no request; a node that is down counts as such. So does a node
    /// that the signal killed before its handler was installed: the records of the callers
    /// show the requests that it cut.
    ///
    /// # Errors
    ///
    /// Fails if the process can't be signalled.
    pub async fn stop_node(&self) -> std::io::Result<bool> {
        let Some(node) = self.node.lock().await.take() else {
            return Ok(true);
        };
        node.signal(Signal::TERM)?;
        let status = node.wait().await?;
        self.close_links().await;
        Ok(status.code().is_none_or(|code| code == 0))
    }

    /// Sends a signal to the node, if it runs.
    ///
    /// # Errors
    ///
    /// Fails if the process has exited by itself.
    pub async fn signal_node(&self, signal: Signal) -> std::io::Result<()> {
        match &*self.node.lock().await {
            Some(node) => node.signal(signal),
            None => Ok(()),
        }
    }

    /// Changes a value in the settings file of the node that doesn't affect the run.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be written.
    pub fn change_settings(&self, change: u64) -> std::io::Result<()> {
        let text = std::fs::read_to_string(&self.settings)?;
        let kept: Vec<&str> = text.lines().filter(|it| !it.starts_with("log:")).collect();
        let rate = 100_000 + change;
        let text = format!("{}\nlog: {{bytes_per_s: {rate}}}\n", kept.join("\n"));
        std::fs::write(&self.settings, text)
    }

    async fn close_links(&self) {
        for role in [
            LinkRole::PeerTraffic,
            LinkRole::PeerControl,
            LinkRole::Callers,
        ] {
            self.link(role).close().await;
        }
    }
}
