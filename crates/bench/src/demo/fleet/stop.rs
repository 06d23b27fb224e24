//! Drains, kills and restarts workers.

use std::time::Duration;

use sassafrasspool_core::Error;
use sassafrasspool_core::InstanceId;
use sassafrasspool_core::Result;
use sassafrasspool_core::Step;
use sassafrasspool_core::history::Event;

use super::Fleet;
use crate::chaos::events::NodeStop;
use crate::chaos::log::unix_now_us;
use crate::demo::member::Member;
use crate::demo::process::Process;
use crate::load::Outage;
use crate::load::OutageKind;

/// How long the drain of a node may take.
const STOP_TIMEOUT: Duration = Duration::from_secs(8);

impl Fleet {
    /// Drains a node by SIGTERM and waits until it exits.
    ///
    /// # Errors
    ///
    /// Fails if it can't be signalled or doesn't exit in time.
    pub(in crate::demo) async fn drain(&mut self, id: &InstanceId) -> Result<()> {
        let target = id.clone();
        self.log.record(Event::DrainBegan { target });
        let mut node = self.take_node(id)?;
        node.terminate()?;
        let status = node.wait_for_exit(STOP_TIMEOUT).await?;
        let target = id.clone();
        // The exit code only tells whether requests were cut, not how many.
        let cut = u64::from(!status.success());
        self.log.record(Event::DrainEnded { target, cut });
        self.log.record(Event::NodeLost { node: id.clone() });
        self.record_stop(id);
        Ok(())
    }

    /// Kills a node by SIGKILL and crashes its target.
    ///
    /// The target's process keeps running, since its ledger is the only record
    /// of what ran. The target drops all its connections at once, so that to all
    /// others it looks as dead as its node.
    ///
    /// # Errors
    ///
    /// Fails if one of them can't be killed.
    pub(in crate::demo) async fn kill(&mut self, id: &InstanceId) -> Result<()> {
        let from_us = unix_now_us();
        let mut node = self.take_node(id)?;
        let admin = self.member(id)?.target_admin;
        let crash = self.client.post::<()>(admin, "/crash", &());
        let (killed, crashed) = tokio::join!(node.kill(), crash);
        killed?;
        crashed?;
        let target = id.clone();
        self.log.record(Event::Crashed { target });
        self.log.record(Event::NodeLost { node: id.clone() });
        self.record_outage(id, from_us);
        Ok(())
    }

    /// Restarts a killed worker under the same name and waits until it is ready.
    ///
    /// # Errors
    ///
    /// Fails if it can't be started or isn't ready in time.
    pub(in crate::demo) async fn restart(&mut self, id: &InstanceId) -> Result<()> {
        let admin = self.member(id)?.target_admin;
        self.client.post::<()>(admin, "/restart", &()).await?;
        self.member(id)?.start_node()?;
        self.wait_until_ready().await
    }

    /// Drains all running nodes at the same time.
    ///
    /// # Errors
    ///
    /// Fails if one can't be signalled or doesn't exit in time.
    pub(in crate::demo) async fn drain_all(&mut self) -> Result<()> {
        let mut nodes = Vec::new();
        for id in self.running() {
            let target = id.clone();
            self.log.record(Event::DrainBegan { target });
            let node = self.take_node(&id)?;
            node.terminate()?;
            nodes.push((id, node));
        }
        for (target, mut node) in nodes {
            let status = node.wait_for_exit(STOP_TIMEOUT).await?;
            let cut = u64::from(!status.success());
            self.record_stop(&target);
            self.log.record(Event::DrainEnded { target, cut });
        }
        Ok(())
    }

    /// A worker by its name.
    ///
    /// # Errors
    ///
    /// Fails if there is none.
    pub(in crate::demo) fn member(&mut self, id: &InstanceId) -> Result<&mut Member> {
        let found = self.members.iter_mut().find(|member| member.id() == id);
        found.ok_or_else(|| Error::new(Step::Check, "is no worker of this demo").at_peer(id))
    }

    /// Records when a node had exited, so that runs that were cut can be
    /// attributed to its drain.
    fn record_stop(&mut self, id: &InstanceId) {
        let stopped = self.position(id).map(|instance| NodeStop {
            instance,
            at_us: unix_now_us(),
        });
        self.stops.extend(stopped);
    }

    fn record_outage(&self, id: &InstanceId, from_us: u64) {
        let Some(instance) = self.position(id) else {
            return;
        };
        let entry = self.members[instance].listen.ingress;
        for kind in [OutageKind::NodeKilled, OutageKind::TargetCrashed] {
            self.log.add_outage(Outage {
                instance,
                entry,
                kind,
                from_us,
                to_us: unix_now_us(),
            });
        }
    }

    fn position(&self, id: &InstanceId) -> Option<usize> {
        self.members.iter().position(|member| member.id() == id)
    }

    fn take_node(&mut self, id: &InstanceId) -> Result<Process> {
        let node = self.member(id)?.node.take();
        node.ok_or_else(|| Error::new(Step::Check, "isn't running").at_peer(id))
    }
}
