//! `audit`: the audit trails of all nodes, merged by time.

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
use crate::print::VerbResult;

/// The audit records of all nodes, oldest first by the nodes' clocks.
#[derive(Debug, Serialize)]
pub(crate) struct AuditTrail {
    records: Vec<NodeRecord>,
    dropped: Vec<DroppedRecords>,
    unreachable: Vec<Unreachable>,
}

/// An audit record with the node that wrote it.
#[derive(Debug, Serialize)]
struct NodeRecord {
    node: SocketAddr,
    instance: InstanceId,
    #[serde(flatten)]
    record: AuditRecord,
}

/// The number of old records that a node has discarded.
#[derive(Debug, Serialize)]
struct DroppedRecords {
    node: SocketAddr,
    records: u64,
}

impl AuditTrail {
    /// Queries every node for its records with numbers above `after`, or for
    /// all of its records.
    pub(crate) async fn query(
        client: &AdminClient,
        nodes: &Nodes,
        after: Option<u64>,
    ) -> AuditTrail {
        let path = match after {
            Some(after) => format!("{AUDIT_PATH}?after={after}"),
            None => AUDIT_PATH.to_owned(),
        };
        let answers = nodes.query_all(|node| {
            let path = path.clone();
            async move { client.get(node, &path).await }
        });
        AuditTrail::from_answers(answers.await)
    }

    fn from_answers(answers: Answers<AuditPage>) -> AuditTrail {
        let mut trail = AuditTrail {
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
            } = answer.body;
            trail
                .records
                .extend(records.into_iter().map(|record| NodeRecord {
                    node,
                    instance: instance.clone(),
                    record,
                }));
            if dropped > 0 {
                let records = dropped;
                trail.dropped.push(DroppedRecords { node, records });
            }
        }
        // The sort is stable: records of one node with equal timestamps keep
        // their order.
        trail.records.sort_by_key(|found| found.record.unix_ms);
        trail
    }
}

impl VerbResult for AuditTrail {
    fn verdict(&self) -> Verdict {
        if self.unreachable.is_empty() {
            Verdict::Yes
        } else {
            Verdict::Unanswered
        }
    }
}

impl fmt::Display for AuditTrail {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.records
            .iter()
            .try_for_each(|found| write!(f, "{found}"))?;
        for dropped in &self.dropped {
            let DroppedRecords { node, records } = dropped;
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
        write_field(f, "stream", record.stream.as_ref())?;
        write_field(f, "version", record.version.as_ref())?;
        write_field(f, "kept", record.kept.as_ref())?;
        write_field(f, "from", record.from.as_ref())?;
        write_field(f, "instance", record.instance.as_ref())?;
        write_field(f, "phase", record.phase.as_ref())?;
        write_field(f, "reason", record.reason.as_ref())?;
        writeln!(f)
    }
}

fn write_field(
    f: &mut fmt::Formatter<'_>,
    name: &str,
    value: Option<&impl fmt::Display>,
) -> fmt::Result {
    match value {
        Some(value) => write!(f, "  {name}={value}"),
        None => Ok(()),
    }
}
