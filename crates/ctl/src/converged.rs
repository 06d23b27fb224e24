//! `converged`: waits until a revision is in force on every node.

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
use crate::print::VerbResult;
use crate::versions::version_of;

/// Time between the end of one round of queries and the next round.
const ROUND_PAUSE: Duration = Duration::from_millis(100);

/// The revision to wait for, which is of the newest epoch that any node holds.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ConvergenceGoal {
    /// The stream of the revision.
    pub(crate) stream: Stream,
    /// The least revision.
    pub(crate) revision: u64,
    /// How long to wait at most.
    pub(crate) timeout: Duration,
}

/// How far the nodes had converged in the last round.
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

/// A node that holds an older revision, or none.
#[derive(Debug, Serialize)]
struct Lagging {
    node: SocketAddr,
    held: Option<VersionInfo>,
}

impl Convergence {
    /// Queries the nodes in rounds until every node reports the revision or a
    /// newer one, or until the timeout.
    ///
    /// Every round queries every node: a node that had the revision and then
    /// stopped answering hasn't converged.
    pub(crate) async fn wait(
        client: &AdminClient,
        nodes: &Nodes,
        goal: ConvergenceGoal,
    ) -> Convergence {
        let began = Instant::now();
        loop {
            let answers = nodes
                .query_all(|node| client.get(node, VERSIONS_PATH))
                .await;
            let found = Convergence::from_answers(&answers, goal, began.elapsed());
            if found.converged || began.elapsed() + ROUND_PAUSE > goal.timeout {
                return found;
            }
            sleep(ROUND_PAUSE).await;
        }
    }

    fn from_answers(
        answers: &Answers<Versions>,
        goal: ConvergenceGoal,
        waited: Duration,
    ) -> Convergence {
        let held = answers.answered.iter();
        let held = held.filter_map(|answer| version_of(&answer.body.held, goal.stream));
        let epoch = held.map(|held| held.epoch).max().unwrap_or(0);
        let mut lagging = Vec::new();
        let mut reached = BTreeSet::new();
        for answer in &answers.answered {
            match version_of(&answer.body.held, goal.stream) {
                Some(held) if held.epoch == epoch && held.revision >= goal.revision => {
                    reached.insert(held.clone());
                }
                held => lagging.push(Lagging {
                    node: answer.node,
                    held: held.cloned(),
                }),
            }
        }
        let conflicting = conflicting_versions(&reached);
        let complete = lagging.is_empty() && answers.unreachable.is_empty();
        Convergence {
            stream: goal.stream,
            revision: goal.revision,
            converged: complete && conflicting.is_empty(),
            waited_ms: waited.as_millis(),
            nodes: answers.answered.len() + answers.unreachable.len(),
            lagging,
            conflicting,
            unreachable: answers.unreachable.clone(),
        }
    }
}

/// The versions that share their revision with a version of other content.
fn conflicting_versions(reached: &BTreeSet<VersionInfo>) -> Vec<String> {
    let conflicts = |version: &&VersionInfo| {
        let key = |version: &VersionInfo| (version.epoch, version.revision);
        let same = |other: &&VersionInfo| key(other) == key(version);
        reached.iter().filter(same).count() > 1
    };
    let found = reached.iter().filter(conflicts);
    found.map(ToString::to_string).collect()
}

impl VerbResult for Convergence {
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
        let missing = self.lagging.len() + self.unreachable.len();
        let converged = nodes - missing;
        writeln!(
            f,
            "{converged} of {nodes} nodes have {stream} {revision} or newer in force after {waited_ms} ms"
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
