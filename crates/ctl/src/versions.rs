//! `versions`: which nodes hold what, and who lags.

use std::fmt;
use std::net::SocketAddr;

use sassafrasspool_core::InstanceId;
use sassafrasspool_core::Stream;
use sassafrasspool_wire::admin::Held;
use sassafrasspool_wire::admin::VERSIONS_PATH;
use sassafrasspool_wire::admin::VersionInfo;
use sassafrasspool_wire::admin::Versions;
use serde::Serialize;

use crate::AdminClient;
use crate::Verdict;
use crate::nodes::Answers;
use crate::nodes::Nodes;
use crate::nodes::Unreachable;
use crate::print::Finding;

/// What every node holds beside the newest that any of them holds.
#[derive(Debug, Serialize)]
pub(crate) struct HeldVersions {
    newest: Held,
    nodes: Vec<NodeVersions>,
    unreachable: Vec<Unreachable>,
}

/// What one node holds.
#[derive(Debug, Serialize)]
struct NodeVersions {
    node: SocketAddr,
    instance: InstanceId,
    held: Held,
    heard: Held,
    refused: Option<VersionInfo>,
    refusals: u64,
    conflicts: u64,
    lags: Vec<Stream>,
}

impl HeldVersions {
    /// Asks every node.
    pub(crate) async fn ask(client: &AdminClient, nodes: &Nodes) -> HeldVersions {
        let answers = nodes.ask(|node| client.get(node, VERSIONS_PATH));
        HeldVersions::of(answers.await)
    }

    fn of(answers: Answers<Versions>) -> HeldVersions {
        let newest = |stream| {
            let held = answers.answered.iter();
            let held = held.filter_map(|answer| held_of(&answer.said.held, stream));
            held.max().cloned()
        };
        let newest = Held {
            catalogue: newest(Stream::Catalogue),
            instances: newest(Stream::Instances),
        };
        let nodes = answers.answered.into_iter();
        let nodes = nodes.map(|answer| NodeVersions::of(answer.node, answer.said, &newest));
        HeldVersions {
            nodes: nodes.collect(),
            newest,
            unreachable: answers.unreachable,
        }
    }
}

impl NodeVersions {
    fn of(node: SocketAddr, said: Versions, newest: &Held) -> NodeVersions {
        let lags = |stream: &Stream| held_of(&said.held, *stream) != held_of(newest, *stream);
        NodeVersions {
            node,
            lags: Stream::ALL.into_iter().filter(lags).collect(),
            instance: said.instance,
            held: said.held,
            heard: said.heard,
            refused: said.refused,
            refusals: said.refusals,
            conflicts: said.conflicts,
        }
    }
}

/// The version of one stream.
pub(crate) fn held_of(held: &Held, stream: Stream) -> Option<&VersionInfo> {
    match stream {
        Stream::Catalogue => held.catalogue.as_ref(),
        Stream::Instances => held.instances.as_ref(),
    }
}

impl Finding for HeldVersions {
    fn verdict(&self) -> Verdict {
        if self.unreachable.is_empty() {
            Verdict::Yes
        } else {
            Verdict::Unanswered
        }
    }
}

impl fmt::Display for HeldVersions {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for stream in Stream::ALL {
            writeln!(
                f,
                "newest {stream}: {}",
                version_text(held_of(&self.newest, stream))
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
                version_text(held_of(&self.held, stream))
            )?;
        }
        for stream in &self.lags {
            let heard = version_text(held_of(&self.heard, *stream));
            write!(f, "  LAGS {stream} (heard of {heard})")?;
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
