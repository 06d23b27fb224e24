//! `drain NODE`: beginning a planned stop.

use std::fmt;
use std::net::SocketAddr;

use sassafrasspool_core::Error;
use sassafrasspool_core::InstanceId;
use sassafrasspool_core::Result;
use sassafrasspool_core::Step;
use sassafrasspool_wire::admin::DRAIN_PATH;
use sassafrasspool_wire::admin::DrainAnswer;
use sassafrasspool_wire::admin::STATUS_PATH;
use sassafrasspool_wire::admin::Status;
use serde::Serialize;

use crate::AdminClient;
use crate::Verdict;
use crate::nodes::Nodes;
use crate::print::Finding;

/// What the node answered.
#[derive(Debug, Serialize)]
pub(crate) struct Draining {
    node: SocketAddr,
    #[serde(flatten)]
    said: DrainAnswer,
}

impl Draining {
    /// Asks a node to drain.
    ///
    /// # Errors
    ///
    /// Fails if the node can't be asked.
    pub(crate) async fn begin(client: &AdminClient, node: SocketAddr) -> Result<Draining> {
        let said = client.post(node, DRAIN_PATH, &()).await?;
        Ok(Draining { node, said })
    }
}

/// The one node beside an instance.
///
/// # Errors
///
/// Fails, naming who couldn't be asked, unless exactly one node answers that
/// it runs beside that instance.
pub(crate) async fn find(
    client: &AdminClient,
    nodes: &Nodes,
    instance: &str,
) -> Result<SocketAddr> {
    let instance = InstanceId::new(instance)?;
    let answers = nodes
        .ask(|node| client.get::<Status>(node, STATUS_PATH))
        .await;
    let beside = answers
        .answered
        .iter()
        .filter(|answer| answer.said.instance == instance);
    let beside: Vec<SocketAddr> = beside.map(|answer| answer.node).collect();
    if let [node] = beside[..] {
        return Ok(node);
    }
    let silent: Vec<String> = answers
        .unreachable
        .iter()
        .map(ToString::to_string)
        .collect();
    let reason = format!("{} nodes run beside it\n{}", beside.len(), silent.concat());
    Err(Error::new(Step::Admin, reason.trim_end()).at_peer(instance))
}

impl Finding for Draining {
    fn verdict(&self) -> Verdict {
        Verdict::Yes
    }
}

impl fmt::Display for Draining {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let said = &self.said;
        writeln!(
            f,
            "{}  {}  {}, {} in flight",
            self.node, said.instance, said.phase, said.in_flight
        )
    }
}
