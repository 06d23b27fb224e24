//! `quarantine`: lists and releases requests that nodes withhold because they
//! crash targets.

use std::fmt;
use std::net::SocketAddr;

use sassafrasspool_core::Content;
use sassafrasspool_core::Error;
use sassafrasspool_core::Result;
use sassafrasspool_core::Step;
use sassafrasspool_wire::admin::QUARANTINE_PATH;
use sassafrasspool_wire::admin::QuarantineInfo;
use sassafrasspool_wire::admin::RELEASE_PATH;
use sassafrasspool_wire::admin::ReleaseAnswer;
use serde::Serialize;

use crate::AdminClient;
use crate::Verdict;
use crate::nodes::Answers;
use crate::nodes::Nodes;
use crate::print::VerbResult;

/// The quarantined requests of all nodes.
#[derive(Debug, Serialize)]
#[serde(transparent)]
pub(crate) struct Quarantines(Answers<QuarantineInfo>);

/// A release that a node has accepted.
#[derive(Debug, Serialize)]
pub(crate) struct ReleaseResult {
    node: SocketAddr,
    content: String,
    #[serde(flatten)]
    answer: ReleaseAnswer,
}

impl Quarantines {
    /// Queries every node.
    pub(crate) async fn query(client: &AdminClient, nodes: &Nodes) -> Quarantines {
        let answers = nodes.query_all(|node| client.get(node, QUARANTINE_PATH));
        Quarantines(answers.await)
    }
}

impl ReleaseResult {
    /// Tries the nodes in order until one accepts the release.
    ///
    /// # Errors
    ///
    /// Fails if `content` isn't a request's content, or with the error of each
    /// node if none accepts the release.
    pub(crate) async fn request(
        client: &AdminClient,
        nodes: &Nodes,
        content: &str,
    ) -> Result<ReleaseResult> {
        let content = Content::parse(content)?.to_string();
        // The text of a content needs no escaping in a query.
        let path = format!("{RELEASE_PATH}?content={content}");
        let mut failures = String::new();
        for node in nodes.iter() {
            match client.post(node, &path, &()).await {
                Ok(answer) => {
                    return Ok(ReleaseResult {
                        node,
                        content,
                        answer,
                    });
                }
                Err(err) => failures.push_str(&format!("\n{err}")),
            }
        }
        Err(Error::new(
            Step::Admin,
            format!("no node accepted the release{failures}"),
        ))
    }
}

impl VerbResult for Quarantines {
    fn verdict(&self) -> Verdict {
        self.0.verdict(Verdict::Yes)
    }
}

impl VerbResult for ReleaseResult {
    fn verdict(&self) -> Verdict {
        Verdict::Yes
    }
}

impl fmt::Display for Quarantines {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for answer in &self.0.answered {
            let info = &answer.body;
            if info.held.is_empty() {
                writeln!(f, "{}  {}  nothing", answer.node, info.instance)?;
            }
            for held in &info.held {
                let (content, left_ms) = (&held.content, held.left_ms);
                writeln!(
                    f,
                    "{}  {}  {content}  for {left_ms} ms",
                    answer.node, info.instance
                )?;
            }
        }
        self.0.fmt_unreachable(f)
    }
}

impl fmt::Display for ReleaseResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let outcome = match self.answer.was_held {
            true => "released",
            false => "was not in quarantine there",
        };
        let (node, instance) = (self.node, &self.answer.instance);
        writeln!(f, "{node}  {instance}  {}  {outcome}", self.content)
    }
}
