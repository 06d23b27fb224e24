//! A node of the fleet that can be crashed and restarted.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;

use miette::IntoDiagnostic;
use sassafrasspool_core::Instance;
use sassafrasspool_core::Phase;
use sassafrasspool_core::Snapshot;
use sassafrasspool_node::Node;
use sassafrasspool_node::NodeAddrs;
use sassafrasspool_node::RunningNode;
use sassafrasspool_node::Settings;
use tokio::runtime::Handle;
use tokio_util::sync::CancellationToken;

use super::addrs;
use super::settings::Common;

/// Maximum number of retries of a node's start.
const START_TRIES: u32 = 40;

/// Interval between two attempts to restart a node.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// A node that can be crashed, and restarted under the same addresses.
#[derive(Debug)]
pub struct Member {
    instance: Instance,
    addrs: NodeAddrs,
    common: Common,
    life: Mutex<Option<Life>>,
}

#[derive(Debug)]
struct Life {
    node: RunningNode,
    cancel: CancellationToken,
}

impl Life {
    fn start(handle: &Handle, settings: Settings) -> miette::Result<Life> {
        let cancel = CancellationToken::new();
        let node = Node::start_on(handle, settings, cancel.clone()).into_diagnostic()?;
        Ok(Life { node, cancel })
    }
}

impl Member {
    /// Starts the node of `instance` on free ports.
    pub(super) fn start(
        handle: &Handle,
        common: &Common,
        mut instance: Instance,
    ) -> miette::Result<Member> {
        let mut tries = START_TRIES;
        let (addrs, life) = loop {
            let addrs = addrs::draw()?;
            let settings = common.settings(&instance, addrs, &[])?;
            match Life::start(handle, settings) {
                Ok(life) => break (addrs, life),
                // Another process took a port before the node listened on it.
                Err(_) if tries > 0 => tries -= 1,
                Err(err) => return Err(err),
            }
        };
        instance.traffic = addrs.traffic;
        instance.control = addrs.control;
        Ok(Member {
            instance,
            addrs,
            common: common.clone(),
            life: Mutex::new(Some(life)),
        })
    }

    /// The instance as it is listed.
    pub fn instance(&self) -> &Instance {
        &self.instance
    }

    /// The node, if it runs.
    pub fn node(&self) -> Option<RunningNode> {
        self.lock().as_ref().map(|life| life.node.clone())
    }

    /// The snapshot in force, once the node accepts requests.
    pub fn in_force(&self) -> Option<Arc<Snapshot>> {
        let life = self.lock();
        let node = &life.as_ref()?.node;
        // Before it has joined, a node serves no request from its snapshot.
        if node.shared().phase() < Phase::Ready {
            return None;
        }
        node.snapshot()
    }

    /// Starts an abrupt stop of the node, as in a crash, without waiting for
    /// its end.
    pub fn begin_crash(&self) {
        if let Some(life) = self.lock().as_ref() {
            life.cancel.cancel();
        }
    }

    /// Stops the node abruptly, as in a crash, and waits until its ports are
    /// free.
    ///
    /// # Errors
    ///
    /// Fails if the node's task ended without a report.
    pub fn crash(&self, handle: &Handle) -> miette::Result<()> {
        let Some(life) = self.lock().take() else {
            return Ok(());
        };
        life.cancel.cancel();
        handle.block_on(life.node.ended()).into_diagnostic()?;
        Ok(())
    }

    /// Restarts the node under the same addresses.
    ///
    /// # Errors
    ///
    /// Fails if one of its addresses can't be listened on.
    pub fn restart(&self, handle: &Handle, seeds: &[SocketAddr]) -> miette::Result<()> {
        let mut tries = START_TRIES;
        loop {
            let settings = self.common.settings(&self.instance, self.addrs, seeds)?;
            match Life::start(handle, settings) {
                Ok(life) => {
                    *self.lock() = Some(life);
                    return Ok(());
                }
                // Another process that probes for free ports may hold one of
                // the node's ports for a moment.
                Err(_) if tries > 0 => tries -= 1,
                Err(err) => return Err(err),
            }
            thread::sleep(RETRY_INTERVAL);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Option<Life>> {
        self.life.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
