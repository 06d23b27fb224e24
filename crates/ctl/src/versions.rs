//! `versions`: the versions that each node holds, and the nodes that lag.

use std::fmt;
use std::net::SocketAddr;

use sassafrasspool_core::InstanceId;
use sassafrasspool_core::Stream;
use sassafrasspool_wire::admin::StreamVersions;
use sassafrasspool_wire::admin::VERSIONS_PATH;
use sassafrasspool_wire::admin::VersionInfo;
use sassafrasspool_wire::admin::Versions;
use serde::Serialize;

use crate::AdminClient;
use crate::Verdict;
use crate::nodes::Answers;
use crate::nodes::Nodes;
use crate::nodes::Unreachable;
use crate::print::VerbResult;

/// The versions that all nodes hold, and the newest of them in each stream.
#[derive(Debug, Serialize)]
pub(crate) struct FleetVersions {
    newest: StreamVersions,
    nodes: Vec<NodeVersions>,
    unreachable: Vec<Unreachable>,
}

/// The versions that one node holds, and the newest advertised to it.
#[derive(Debug, Serialize)]
struct NodeVersions {
    node: SocketAddr,
    instance: InstanceId,
    held: StreamVersions,
    #[serde(rename = "heard")]
    advertised: StreamVersions,
    refused: Option<VersionInfo>,
    refusals: u64,
    conflicts: u64,
    lags: Vec<Stream>,
}

impl FleetVersions {
    /// Queries every node.
    pub(crate) async fn query(client: &AdminClient, nodes: &Nodes) -> FleetVersions {
        let answers = nodes.query_all(|node| client.get(node, VERSIONS_PATH));
        FleetVersions::from_answers(answers.await)
    }

    fn from_answers(answers: Answers<Versions>) -> FleetVersions {
        let newest = |stream| {
            let held = answers.answered.iter();
            let held = held.filter_map(|answer| version_of(&answer.body.held, stream));
            held.max().cloned()
        };
        let newest = StreamVersions {
            catalogue: newest(Stream::Catalogue),
            instances: newest(Stream::Instances),
        };
        let nodes = answers.answered.into_iter();
        let nodes = nodes.map(|answer| NodeVersions::compare(answer.node, answer.body, &newest));
        FleetVersions {
            nodes: nodes.collect(),
            newest,
            unreachable: answers.unreachable,
        }
    }
}

impl NodeVersions {
    /// Compares the versions of one node with the newest.
    fn compare(node: SocketAddr, versions: Versions, newest: &StreamVersions) -> NodeVersions {
        let lags =
            |stream: &Stream| version_of(&versions.held, *stream) != version_of(newest, *stream);
        NodeVersions {
            node,
            lags: Stream::ALL.into_iter().filter(lags).collect(),
            instance: versions.instance,
            held: versions.held,
            advertised: versions.heard,
            refused: versions.refused,
            refusals: versions.refusals,
            conflicts: versions.conflicts,
        }
    }
}

/// Returns the version of one stream.
pub(crate) fn version_of(held: &StreamVersions, stream: Stream) -> Option<&VersionInfo> {
    match stream {
        Stream::Catalogue => held.catalogue.as_ref(),
        Stream::Instances => held.instances.as_ref(),
    }
}

impl VerbResult for FleetVersions {
    fn verdict(&self) -> Verdict {
        if self.unreachable.is_empty() {
            Verdict::Yes
        } else {
            Verdict::Unanswered
        }
    }
}

impl fmt::Display for FleetVersions {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for stream in Stream::ALL {
            writeln!(
                f,
                "newest {stream}: {}",
                version_text(version_of(&self.newest, stream))
            )?;
        }
        for node in &self.nodes {
            write!(f, "{node}")?;
        }
        self.unreachable
            .iter()
            .try_for_each(|node| write!(f, "{node}"))
    }
}

impl fmt::Display for NodeVersions {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}  {}", self.node, self.instance)?;
        for stream in Stream::ALL {
            write!(
                f,
                "  {stream} {}",
                version_text(version_of(&self.held, stream))
            )?;
        }
        for stream in &self.lags {
            let advertised = version_text(version_of(&self.advertised, *stream));
            write!(f, "  LAGS {stream} (heard of {advertised})")?;
        }
        if let Some(refused) = &self.refused {
            write!(f, "  refused {refused}")?;
        }
        if self.conflicts > 0 {
            write!(f, "  conflicts {}", self.conflicts)?;
        }
        writeln!(f)
    }
}

fn version_text(version: Option<&VersionInfo>) -> String {
    version.map_or("none".to_owned(), ToString::to_string)
}
