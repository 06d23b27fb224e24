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
use super::settings::CommonSettings;

/// Maximum number of retries of a node's start.
const MAX_START_RETRIES: u32 = 40;

/// Interval between two attempts to restart a node.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// A node that can be crashed, and restarted under the same addresses.
#[derive(Debug)]
pub struct Member {
    instance: Instance,
    addrs: NodeAddrs,
    common: CommonSettings,
    running: Mutex<Option<RunningMember>>,
}

#[derive(Debug)]
struct RunningMember {
    node: RunningNode,
    cancel: CancellationToken,
}

impl RunningMember {
    fn start(handle: &Handle, settings: Settings) -> miette::Result<RunningMember> {
        let cancel = CancellationToken::new();
        let node = Node::start_on(handle, settings, cancel.clone()).into_diagnostic()?;
        Ok(RunningMember { node, cancel })
    }
}

impl Member {
    /// Starts the node of `instance` on free ports.
    pub(super) fn start(
        handle: &Handle,
        common: &CommonSettings,
        mut instance: Instance,
    ) -> miette::Result<Member> {
        let mut retries = MAX_START_RETRIES;
        let (addrs, running) = loop {
            let addrs = addrs::allocate()?;
            let settings = common.settings(&instance, addrs, &[])?;
            match RunningMember::start(handle, settings) {
                Ok(running) => break (addrs, running),
                // Another process took a port before the node listened on it.
                Err(_) if retries > 0 => retries -= 1,
                Err(err) => return Err(err),
            }
        };
        instance.traffic = addrs.traffic;
        instance.control = addrs.control;
        Ok(Member {
            instance,
            addrs,
            common: common.clone(),
            running: Mutex::new(Some(running)),
        })
    }

    /// The instance as it is listed.
    pub fn instance(&self) -> &Instance {
        &self.instance
    }

    /// The node, if it runs.
    pub fn node(&self) -> Option<RunningNode> {
        self.lock().as_ref().map(|running| running.node.clone())
    }

    /// The snapshot in force, once the node accepts requests.
    pub fn snapshot_in_force(&self) -> Option<Arc<Snapshot>> {
        let running = self.lock();
        let node = &running.as_ref()?.node;
        // Before it has joined, a node serves no request from its snapshot.
        if node.shared().phase() < Phase::Ready {
            return None;
        }
        node.snapshot()
    }

    /// Starts an abrupt stop of the node, as in a crash, without waiting for
    /// its end.
    pub fn begin_crash(&self) {
        if let Some(running) = self.lock().as_ref() {
            running.cancel.cancel();
        }
    }

    /// Stops the node abruptly, as in a crash, and waits until its ports are
    /// free.
    ///
    /// # Errors
    ///
    /// Fails if the node's task ended without a report.
    pub fn crash(&self, handle: &Handle) -> miette::Result<()> {
        let Some(running) = self.lock().take() else {
            return Ok(());
        };
        running.cancel.cancel();
        handle
            .block_on(running.node.wait_until_ended())
            .into_diagnostic()?;
        Ok(())
    }

    /// Restarts the node under the same addresses.
    ///
    /// # Errors
    ///
    /// Fails if one of its addresses can't be listened on.
    pub fn restart(&self, handle: &Handle, seeds: &[SocketAddr]) -> miette::Result<()> {
        let mut retries = MAX_START_RETRIES;
        loop {
            let settings = self.common.settings(&self.instance, self.addrs, seeds)?;
            match RunningMember::start(handle, settings) {
                Ok(running) => {
                    *self.lock() = Some(running);
                    return Ok(());
                }
                // Another process that probes for free ports may hold one of
                // the node's ports for a moment.
                Err(_) if retries > 0 => retries -= 1,
                Err(err) => return Err(err),
            }
            thread::sleep(RETRY_INTERVAL);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Option<RunningMember>> {
        self.running.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
