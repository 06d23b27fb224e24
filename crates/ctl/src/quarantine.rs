//! `quarantine`: requests that are kept from targets.

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
use crate::print::Finding;

/// What every node keeps from targets.
#[derive(Debug, Serialize)]
#[serde(transparent)]
pub(crate) struct Quarantines(Answers<QuarantineInfo>);

/// A release that a node has taken.
#[derive(Debug, Serialize)]
pub(crate) struct Released {
    node: SocketAddr,
    content: String,
    #[serde(flatten)]
    said: ReleaseAnswer,
}

impl Quarantines {
    /// Asks every node.
    pub(crate) async fn ask(client: &AdminClient, nodes: &Nodes) -> Quarantines {
        let answers = nodes.ask(|node| client.get(node, QUARANTINE_PATH));
        Quarantines(answers.await)
    }
}

impl Released {
    /// Tells the first node that answers.
    ///
    /// # Errors
    ///
    /// Fails if `content` is none, or with what each node said if none took the order.
    pub(crate) async fn order(
        client: &AdminClient,
        nodes: &Nodes,
        content: &str,
    ) -> Result<Released> {
        let content = Content::parse(content)?.to_string();
        // Its text needs no escape in a query.
        let path = format!("{RELEASE_PATH}?content={content}");
        let mut failures = String::new();
        for node in nodes.iter() {
            match client.post(node, &path, &()).await {
                Ok(said) => {
                    return Ok(Released {
                        node,
                        content,
                        said,
                    });
                }
                Err(err) => failures.push_str(&format!("\n{err}")),
            }
        }
        Err(Error::new(
            Step::Admin,
            format!("no node took the order{failures}"),
        ))
    }
}

impl Finding for Quarantines {
    fn verdict(&self) -> Verdict {
        self.0.verdict(Verdict::Yes)
    }
}

impl Finding for Released {
    fn verdict(&self) -> Verdict {
        Verdict::Yes
    }
}

impl fmt::Display for Quarantines {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for answer in &self.0.answered {
            let said = &answer.said;
            if said.held.is_empty() {
                writeln!(f, "{}  {}  nothing", answer.node, said.instance)?;
            }
            for held in &said.held {
                let (content, left_ms) = (&held.content, held.left_ms);
                writeln!(
                    f,
                    "{}  {}  {content}  for {left_ms} ms",
                    answer.node, said.instance
                )?;
            }
        }
        self.0.fmt_unreachable(f)
    }
}

impl fmt::Display for Released {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let was = match self.said.was_held {
            true => "released",
            false => "was not in quarantine there",
        };
        let (node, instance) = (self.node, &self.said.instance);
        writeln!(f, "{node}  {instance}  {}  {was}", self.content)
    }
}
