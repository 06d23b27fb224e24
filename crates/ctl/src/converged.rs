//! `converged`: waiting until every node has a revision in force.

use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use sassafrasspool_core::Stream;
use sassafrasspool_wire::admin::VERSIONS_PATH;
use sassafrasspool_wire::admin::VersionInfo;
use sassafrasspool_wire::admin::Versions;
use serde::Serialize;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::AdminClient;
use crate::Verdict;
use crate::nodes::Answers;
use crate::nodes::Nodes;
use crate::nodes::Unreachable;
use crate::print::Finding;
use crate::versions::held_of;

/// Time between two rounds of asking.
const ROUND: Duration = Duration::from_millis(100);

/// What is waited for.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Wanted {
    /// Which stream is meant.
    pub(crate) stream: Stream,
    /// The least revision.
    pub(crate) revision: u64,
    /// How long to wait.
    pub(crate) within: Duration,
}

/// How far the nodes got.
#[derive(Debug, Serialize)]
pub(crate) struct Convergence {
    stream: Stream,
    revision: u64,
    converged: bool,
    waited_ms: u128,
    nodes: usize,
    lagging: Vec<Lagging>,
    conflicting: Vec<String>,
    unreachable: Vec<Unreachable>,
}

/// A node that holds something older, or nothing.
#[derive(Debug, Serialize)]
struct Lagging {
    node: SocketAddr,
    held: Option<VersionInfo>,
}

impl Convergence {
    /// Asks round by round until every node answers with the revision or a
    /// newer one, or the time is over.
    ///
    /// Every node is asked in every round: one that had the revision and then
    /// stopped answering hasn't converged.
    pub(crate) async fn wait(client: &AdminClient, nodes: &Nodes, wanted: Wanted) -> Convergence {
        let began = Instant::now();
        loop {
            let answers = nodes.ask(|node| client.get(node, VERSIONS_PATH)).await;
            let found = Convergence::of(&answers, wanted, began.elapsed());
            if found.converged || began.elapsed() + ROUND > wanted.within {
                return found;
            }
            sleep(ROUND).await;
        }
    }

    fn of(answers: &Answers<Versions>, wanted: Wanted, waited: Duration) -> Convergence {
        let mut lagging = Vec::new();
        let mut reached = BTreeSet::new();
        for answer in &answers.answered {
            match held_of(&answer.said.held, wanted.stream) {
                Some(held) if held.revision >= wanted.revision => {
                    reached.insert(held.clone());
                }
                held => lagging.push(Lagging {
                    node: answer.node,
                    held: held.cloned(),
                }),
            }
        }
        let conflicting = conflicts(&reached);
        let complete = lagging.is_empty() && answers.unreachable.is_empty();
        Convergence {
            stream: wanted.stream,
            revision: wanted.revision,
            converged: complete && conflicting.is_empty(),
            waited_ms: waited.as_millis(),
            nodes: answers.answered.len() + answers.unreachable.len(),
            lagging,
            conflicting,
            unreachable: answers.unreachable.clone(),
        }
    }
}

/// Versions of one revision with different contents.
fn conflicts(reached: &BTreeSet<VersionInfo>) -> Vec<String> {
    let twice = |version: &&VersionInfo| {
        let same = |other: &&VersionInfo| other.revision == version.revision;
        reached.iter().filter(same).count() > 1
    };
    let found = reached.iter().filter(twice);
    found.map(ToString::to_string).collect()
}

impl Finding for Convergence {
    fn verdict(&self) -> Verdict {
        if !self.unreachable.is_empty() {
            return Verdict::Unanswered;
        }
        if self.converged {
            Verdict::Yes
        } else {
            Verdict::No
        }
    }
}

impl fmt::Display for Convergence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Convergence {
            stream,
            revision,
            nodes,
            waited_ms,
            ..
        } = self;
        let short = self.lagging.len() + self.unreachable.len();
        let there = nodes - short;
        writeln!(
            f,
            "{there} of {nodes} nodes have {stream} {revision} or newer in force after {waited_ms} ms"
        )?;
        for lagging in &self.lagging {
            let held = &lagging.held;
            let held = held
                .as_ref()
                .map_or("nothing".to_owned(), ToString::to_string);
            writeln!(f, "{}  lags: holds {held}", lagging.node)?;
        }
        for version in &self.conflicting {
            writeln!(f, "conflict: {version} is one of several of its revision")?;
        }
        self.unreachable
            .iter()
            .try_for_each(|node| write!(f, "{node}"))
    }
}
