//! `status`: the state of each node.

use std::fmt;

use sassafrasspool_wire::admin::STATUS_PATH;
use sassafrasspool_wire::admin::Status;
use sassafrasspool_wire::admin::VersionInfo;
use serde::Serialize;

use crate::AdminClient;
use crate::Verdict;
use crate::nodes::Answers;
use crate::nodes::Nodes;
use crate::print::VerbResult;

/// The states of all nodes.
#[derive(Debug, Serialize)]
#[serde(transparent)]
pub(crate) struct Statuses(Answers<Status>);

impl Statuses {
    /// Queries every node.
    pub(crate) async fn query(client: &AdminClient, nodes: &Nodes) -> Statuses {
        let answers = nodes.query_all(|node| client.get(node, STATUS_PATH));
        Statuses(answers.await)
    }
}

impl VerbResult for Statuses {
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
            let status = &answer.body;
            writeln!(
                f,
                "{:<21} {:<20} {:<14} {:<9} {:>9} {:>9} {:>9} {:>5} {:>13}",
                answer.node.to_string(),
                status.instance.as_str(),
                status.domain.as_str(),
                status.phase.to_string(),
                revision(status.held.catalogue.as_ref()),
                revision(status.held.instances.as_ref()),
                status.in_flight,
                status.peers,
                status
                    .source_age_ms
                    .map_or("-".to_owned(), |ms| ms.to_string()),
            )?;
            if let Some(link) = status.link.filter(|link| link.large_bytes > 0) {
                writeln!(
                    f,
                    "    link: {} ms delay, {} large answers, {} requests refused",
                    link.delay_ms, link.transfers, link.refusals
                )?;
            }
            for evacuation in &status.evacuations {
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
    held.map_or("-".to_owned(), |held| match held.epoch {
        0 => held.revision.to_string(),
        epoch => format!("{epoch}:{}", held.revision),
    })
}
