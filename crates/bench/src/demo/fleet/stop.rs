//! Ways in which workers stop.

use std::time::Duration;

use sassafrasspool_core::Error;
use sassafrasspool_core::InstanceId;
use sassafrasspool_core::Result;
use sassafrasspool_core::Step;
use sassafrasspool_core::history::Event;

use super::Fleet;
use crate::chaos::events::Stopped;
use crate::chaos::log::now_us;
use crate::demo::member::Member;
use crate::demo::process::Process;
use crate::load::Outage;
use crate::load::OutageKind;

/// How long a planned stop of a node may take.
const STOP_BOUND: Duration = Duration::from_secs(8);

impl Fleet {
    /// Stops a node as planned, by SIGTERM, and waits for its end.
    ///
    /// # Errors
    ///
    /// Fails if it doesn't end in time or its exit code tells of a cut.
    pub(in crate::demo) async fn drain(&mut self, id: &InstanceId) -> Result<()> {
        let target = id.clone();
        self.log.record(Event::DrainBegan { target });
        let mut node = self.take_node(id)?;
        node.terminate()?;
        let status = node.ended(STOP_BOUND).await?;
        let target = id.clone();
        // The exit code doesn't say how many were cut, only that some were.
        let cut = u64::from(!status.success());
        self.log.record(Event::DrainEnded { target, cut });
        self.log.record(Event::NodeLost { node: id.clone() });
        self.note_stop(id);
        Ok(())
    }

    /// Kills a node without warning, together with its target's work.
    ///
    /// The target's process stays, since its ledger is the only witness of
    /// what ran: it drops all its connections at once, so that to everybody
    /// else it is as dead as its node.
    ///
    /// # Errors
    ///
    /// Fails if one of them can't be killed.
    pub(in crate::demo) async fn kill(&mut self, id: &InstanceId) -> Result<()> {
        let from_us = now_us();
        let mut node = self.take_node(id)?;
        let admin = self.member(id)?.target_admin;
        let crash = self.client.post::<()>(admin, "/crash", &());
        let (killed, crashed) = tokio::join!(node.kill(), crash);
        killed?;
        crashed?;
        let target = id.clone();
        self.log.record(Event::Crashed { target });
        self.log.record(Event::NodeLost { node: id.clone() });
        self.note_outage(id, from_us);
        Ok(())
    }

    /// Starts a killed worker again, under the same name, and waits until it
    /// is ready.
    ///
    /// # Errors
    ///
    /// Fails if it can't be started or isn't ready in time.
    pub(in crate::demo) async fn restart(&mut self, id: &InstanceId) -> Result<()> {
        let admin = self.member(id)?.target_admin;
        self.client.post::<()>(admin, "/restart", &()).await?;
        self.member(id)?.start_node()?;
        self.until_ready().await
    }

    /// Stops every node that still runs, all at once, as planned.
    ///
    /// # Errors
    ///
    /// Fails if one doesn't end in time.
    pub(in crate::demo) async fn stop(&mut self) -> Result<()> {
        let mut nodes = Vec::new();
        for id in self.running() {
            let target = id.clone();
            self.log.record(Event::DrainBegan { target });
            let node = self.take_node(&id)?;
            node.terminate()?;
            nodes.push((id, node));
        }
        for (target, mut node) in nodes {
            let status = node.ended(STOP_BOUND).await?;
            let cut = u64::from(!status.success());
            self.note_stop(&target);
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
        found.ok_or_else(|| Error::new(Step::Check, "is unknown").at_peer(id))
    }

    /// Takes down when a node was gone, by which runs that were cut are laid
    /// at its stop's door.
    fn note_stop(&mut self, id: &InstanceId) {
        let stopped = self.position(id).map(|instance| Stopped {
            instance,
            at_us: now_us(),
        });
        self.stops.extend(stopped);
    }

    fn note_outage(&self, id: &InstanceId, from_us: u64) {
        let Some(instance) = self.position(id) else {
            return;
        };
        let entry = self.members[instance].listen.ingress;
        for kind in [OutageKind::NodeKilled, OutageKind::TargetCrashed] {
            self.log.add(Outage {
                instance,
                entry,
                kind,
                from_us,
                to_us: now_us(),
            });
        }
    }

    fn position(&self, id: &InstanceId) -> Option<usize> {
        self.members.iter().position(|member| member.id() == id)
    }

    fn take_node(&mut self, id: &InstanceId) -> Result<Process> {
        let node = self.member(id)?.node.take();
        node.ok_or_else(|| Error::new(Step::Check, "doesn't run").at_peer(id))
    }
}
