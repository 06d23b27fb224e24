//! One instance of a run.

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
use crate::schedule::Way;
use crate::standin::StandIn;

/// The node's program.
const NODE: &str = "sassafrasspool-node";

/// How often a node that doesn't listen yet is tried again.
const POLL: Duration = Duration::from_millis(20);

/// One instance: a target, the node beside it, and the links to and from them.
#[derive(Debug)]
pub struct Member {
    /// As the platform lists it.
    pub instance: Instance,
    /// Where callers reach its node itself.
    pub ingress: SocketAddr,
    /// Where callers reach it by a link. A link can't refuse a connection as an
    /// ended process does, so that what is lost at a planned stop is judged by
    /// those who come without one.
    pub entry: SocketAddr,
    /// Where its node answers operators.
    pub admin: SocketAddr,
    /// Its target.
    pub target: StandIn,
    pub(super) links: [Link; 5],
    pub(super) node: Mutex<Option<Child>>,
    pub(super) settings: PathBuf,
    pub(super) log: PathBuf,
}

impl Member {
    /// One of its links.
    pub fn link(&self, way: Way) -> &Link {
        &self.links[way as usize]
    }

    /// Starts its node, and opens the links to it once it listens: one that is
    /// open before takes connections that the system would have refused.
    ///
    /// # Errors
    ///
    /// Fails if the process can't be started or doesn't listen in time.
    pub async fn start_node(&self) -> std::io::Result<()> {
        let args = [
            OsString::from("--settings"),
            self.settings.clone().into_os_string(),
        ];
        let node = Child::start(NODE, &args, &self.log)?;
        *self.node.lock().await = Some(node);
        let end = Instant::now() + READY_TIMEOUT;
        while let Err(err) = TcpStream::connect(self.ingress).await {
            if Instant::now() >= end {
                return Err(err);
            }
            tokio::time::sleep(POLL).await;
        }
        for way in [Way::PeerTraffic, Way::PeerControl, Way::Callers] {
            self.link(way).open().await?;
        }
        Ok(())
    }

    /// Kills its node; nothing to do if it is down.
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

    /// Asks its node to stop and waits for its end. Returns whether it says
    /// that it cut nothing, as one that is down does. One that the signal ended
    /// before it could take it says nothing: what it cut is in the callers'
    /// records.
    ///
    /// # Errors
    ///
    /// Fails if it can't be signalled.
    pub async fn stop_node(&self) -> std::io::Result<bool> {
        let Some(node) = self.node.lock().await.take() else {
            return Ok(true);
        };
        node.signal(Signal::TERM)?;
        let status = node.wait().await?;
        self.close_links().await;
        Ok(status.code().is_none_or(|code| code == 0))
    }

    /// Signals its node; nothing to do if it is down.
    ///
    /// # Errors
    ///
    /// Fails if the process has ended by itself.
    pub async fn signal_node(&self, signal: Signal) -> std::io::Result<()> {
        match &*self.node.lock().await {
            Some(node) => node.signal(signal),
            None => Ok(()),
        }
    }

    /// Changes its node's settings file in something that matters to nobody.
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
        for way in [Way::PeerTraffic, Way::PeerControl, Way::Callers] {
            self.link(way).close().await;
        }
    }
}
