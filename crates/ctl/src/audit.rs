//! `audit`: the nodes' trails of changes, in one order.

use std::fmt;
use std::net::SocketAddr;

use sassafrasspool_core::InstanceId;
use sassafrasspool_wire::admin::AUDIT_PATH;
use sassafrasspool_wire::admin::AuditPage;
use sassafrasspool_wire::admin::AuditRecord;
use serde::Serialize;

use crate::AdminClient;
use crate::Verdict;
use crate::nodes::Answers;
use crate::nodes::Nodes;
use crate::nodes::Unreachable;
use crate::print::Finding;

/// All records, oldest first by the nodes' clocks.
#[derive(Debug, Serialize)]
pub(crate) struct Trail {
    records: Vec<NodeRecord>,
    dropped: Vec<Dropped>,
    unreachable: Vec<Unreachable>,
}

/// One node's record.
#[derive(Debug, Serialize)]
struct NodeRecord {
    node: SocketAddr,
    instance: InstanceId,
    #[serde(flatten)]
    record: AuditRecord,
}

/// A node that no longer keeps all of its records.
#[derive(Debug, Serialize)]
struct Dropped {
    node: SocketAddr,
    records: u64,
}

impl Trail {
    /// Asks every node.
    pub(crate) async fn ask(client: &AdminClient, nodes: &Nodes, after: Option<u64>) -> Trail {
        let path = match after {
            Some(after) => format!("{AUDIT_PATH}?after={after}"),
            None => AUDIT_PATH.to_owned(),
        };
        let answers = nodes.ask(|node| {
            let path = path.clone();
            async move { client.get(node, &path).await }
        });
        Trail::of(answers.await)
    }

    fn of(answers: Answers<AuditPage>) -> Trail {
        let mut trail = Trail {
            records: Vec::new(),
            dropped: Vec::new(),
            unreachable: answers.unreachable,
        };
        for answer in answers.answered {
            let node = answer.node;
            let AuditPage {
                instance,
                records,
                dropped,
            } = answer.said;
            trail
                .records
                .extend(records.into_iter().map(|record| NodeRecord {
                    node,
                    instance: instance.clone(),
                    record,
                }));
            if dropped > 0 {
                let records = dropped;
                trail.dropped.push(Dropped { node, records });
            }
        }
        // A stable sort keeps each node's own order where its clock stood.
        trail.records.sort_by_key(|found| found.record.unix_ms);
        trail
    }
}

impl Finding for Trail {
    fn verdict(&self) -> Verdict {
        if self.unreachable.is_empty() {
            Verdict::Yes
        } else {
            Verdict::Unanswered
        }
    }
}

impl fmt::Display for Trail {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.records
            .iter()
            .try_for_each(|found| write!(f, "{found}"))?;
        for dropped in &self.dropped {
            let Dropped { node, records } = dropped;
            writeln!(f, "{node}  no longer keeps {records} older records")?;
        }
        self.unreachable
            .iter()
            .try_for_each(|node| write!(f, "{node}"))
    }
}

impl fmt::Display for NodeRecord {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let record = &self.record;
        let (seconds, ms) = (record.unix_ms / 1_000, record.unix_ms % 1_000);
        write!(
            f,
            "{seconds}.{ms:03}  {}  #{}  {}",
            self.instance, record.number, record.event
        )?;
        part(f, "stream", record.stream.as_ref())?;
        part(f, "version", record.version.as_ref())?;
        part(f, "kept", record.kept.as_ref())?;
        part(f, "from", record.from.as_ref())?;
        part(f, "instance", record.instance.as_ref())?;
        part(f, "phase", record.phase.as_ref())?;
        part(f, "reason", record.reason.as_ref())?;
        writeln!(f)
    }
}

fn part(f: &mut fmt::Formatter<'_>, name: &str, value: Option<&impl fmt::Display>) -> fmt::Result {
    match value {
        Some(value) => write!(f, "  {name}={value}"),
        None => Ok(()),
    }
}
