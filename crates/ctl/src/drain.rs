//! `drain NODE`: starts a planned stop of a node.

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
use crate::print::VerbResult;

/// The node's answer to the drain request.
#[derive(Debug, Serialize)]
pub(crate) struct DrainResult {
    node: SocketAddr,
    #[serde(flatten)]
    answer: DrainAnswer,
}

impl DrainResult {
    /// Sends a drain request to a node.
    ///
    /// # Errors
    ///
    /// Fails if the node can't be reached or doesn't accept the request.
    pub(crate) async fn begin(client: &AdminClient, node: SocketAddr) -> Result<DrainResult> {
        let answer = client.post(node, DRAIN_PATH, &()).await?;
        Ok(DrainResult { node, answer })
    }
}

/// Finds the one node of an instance.
///
/// # Errors
///
/// Fails unless exactly one node reports that instance as its own; the error
/// lists the unreachable nodes.
pub(crate) async fn find_node_of(
    client: &AdminClient,
    nodes: &Nodes,
    instance: &str,
) -> Result<SocketAddr> {
    let instance = InstanceId::new(instance)?;
    let answers = nodes
        .query_all(|node| client.get::<Status>(node, STATUS_PATH))
        .await;
    let matching = answers
        .answered
        .iter()
        .filter(|answer| answer.body.instance == instance);
    let matching: Vec<SocketAddr> = matching.map(|answer| answer.node).collect();
    if let [node] = matching[..] {
        return Ok(node);
    }
    let unreachable: Vec<String> = answers
        .unreachable
        .iter()
        .map(ToString::to_string)
        .collect();
    let reason = format!(
        "{} nodes report this instance as their own\n{}",
        matching.len(),
        unreachable.concat()
    );
    Err(Error::new(Step::Admin, reason.trim_end()).at_peer(instance))
}

impl VerbResult for DrainResult {
    fn verdict(&self) -> Verdict {
        Verdict::Yes
    }
}

impl fmt::Display for DrainResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let answer = &self.answer;
        writeln!(
            f,
            "{}  {}  {}, {} in flight",
            self.node, answer.instance, answer.phase, answer.in_flight
        )
    }
}
