//! `status`: how each node is.

use std::fmt;

use sassafrasspool_wire::admin::STATUS_PATH;
use sassafrasspool_wire::admin::Status;
use sassafrasspool_wire::admin::VersionInfo;
use serde::Serialize;

use crate::AdminClient;
use crate::Verdict;
use crate::nodes::Answers;
use crate::nodes::Nodes;
use crate::print::Finding;

/// The state of every node.
#[derive(Debug, Serialize)]
#[serde(transparent)]
pub(crate) struct Statuses(Answers<Status>);

impl Statuses {
    /// Asks every node.
    pub(crate) async fn ask(client: &AdminClient, nodes: &Nodes) -> Statuses {
        let answers = nodes.ask(|node| client.get(node, STATUS_PATH));
        Statuses(answers.await)
    }
}

impl Finding for Statuses {
    fn verdict(&self) -> Verdict {
        self.0.verdict(Verdict::Yes)
    }
}

impl fmt::Display for Statuses {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<21} {:<20} {:<14} {:<9} {:>9} {:>9} {:>9} {:>5} {:>13}",
            "node",
            "instance",
            "domain",
            "phase",
            "catalogue",
            "instances",
            "in-flight",
            "peers",
            "source-age-ms",
        )?;
        for answer in &self.0.answered {
            let said = &answer.said;
            writeln!(
                f,
                "{:<21} {:<20} {:<14} {:<9} {:>9} {:>9} {:>9} {:>5} {:>13}",
                answer.node.to_string(),
                said.instance.as_str(),
                said.domain.as_str(),
                said.phase.to_string(),
                revision(said.held.catalogue.as_ref()),
                revision(said.held.instances.as_ref()),
                said.in_flight,
                said.peers,
                said.source_age_ms
                    .map_or("-".to_owned(), |ms| ms.to_string()),
            )?;
            for evacuation in &said.evacuations {
                let since = evacuation.since_revision;
                let since = since.map(|revision| format!(" since revision {revision}"));
                let since = since.unwrap_or_default();
                writeln!(f, "    evacuated: {}{since}", evacuation.domain)?;
            }
        }
        self.0.fmt_unreachable(f)
    }
}

fn revision(held: Option<&VersionInfo>) -> String {
    held.map_or("-".to_owned(), |held| held.revision.to_string())
}
