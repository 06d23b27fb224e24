//! The answers of the nodes that were queried.

use std::fmt;
use std::net::SocketAddr;

use sassafrasspool_core::Result;
use serde::Serialize;

use crate::Verdict;

/// The answers of all nodes that were queried.
#[derive(Debug, Serialize)]
pub(crate) struct Answers<T> {
    /// The answers, in the order in which the nodes were given.
    pub(crate) answered: Vec<Answer<T>>,
    /// The nodes without a usable answer, each with the error.
    pub(crate) unreachable: Vec<Unreachable>,
}

/// One node's answer.
#[derive(Debug, Serialize)]
pub(crate) struct Answer<T> {
    /// The node's admin address.
    pub(crate) node: SocketAddr,
    /// The decoded body of the answer.
    #[serde(rename = "said")]
    pub(crate) body: T,
}

/// A node without a usable answer.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub(crate) struct Unreachable {
    /// The node's admin address.
    pub(crate) node: SocketAddr,
    /// The error: step, peer and reason.
    pub(crate) error: String,
}

impl<T> Answers<T> {
    /// Returns `verdict` if every node answered, [`Verdict::Unanswered`]
    /// otherwise.
    pub(crate) fn verdict(&self, verdict: Verdict) -> Verdict {
        if self.unreachable.is_empty() {
            verdict
        } else {
            Verdict::Unanswered
        }
    }

    /// Writes the nodes without an answer, one per line.
    pub(crate) fn fmt_unreachable(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.unreachable
            .iter()
            .try_for_each(|node| write!(f, "{node}"))
    }
}

impl<T> Default for Answers<T> {
    fn default() -> Answers<T> {
        Answers {
            answered: Vec::new(),
            unreachable: Vec::new(),
        }
    }
}

impl<T> Extend<(SocketAddr, Result<T>)> for Answers<T> {
    fn extend<I: IntoIterator<Item = (SocketAddr, Result<T>)>>(&mut self, queried: I) {
        for (node, answer) in queried {
            match answer {
                Ok(body) => self.answered.push(Answer { node, body }),
                Err(err) => self.unreachable.push(Unreachable {
                    node,
                    error: err.to_string(),
                }),
            }
        }
    }
}

impl fmt::Display for Unreachable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}  UNREACHABLE  {}", self.node, self.error)
    }
}
