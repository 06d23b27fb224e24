//! What the nodes answered.

use std::fmt;
use std::net::SocketAddr;

use sassafrasspool_core::Result;
use serde::Serialize;

use crate::Verdict;

/// The answers of all nodes that were asked.
#[derive(Debug, Serialize)]
pub(crate) struct Answers<T> {
    /// What was answered, by node, in the order in which they were named.
    pub(crate) answered: Vec<Answer<T>>,
    /// Nodes without a usable answer, and why.
    pub(crate) unreachable: Vec<Unreachable>,
}

/// One node's answer.
#[derive(Debug, Serialize)]
pub(crate) struct Answer<T> {
    /// The node's admin address.
    pub(crate) node: SocketAddr,
    /// What it said.
    pub(crate) said: T,
}

/// A node that gave no answer.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub(crate) struct Unreachable {
    /// The node's admin address.
    pub(crate) node: SocketAddr,
    /// The step, the peer and the reason.
    pub(crate) error: String,
}

impl<T> Answers<T> {
    /// `verdict` if every node answered.
    pub(crate) fn verdict(&self, verdict: Verdict) -> Verdict {
        if self.unreachable.is_empty() {
            verdict
        } else {
            Verdict::Unanswered
        }
    }

    /// Lists the nodes without an answer.
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
    fn extend<I: IntoIterator<Item = (SocketAddr, Result<T>)>>(&mut self, asked: I) {
        for (node, answer) in asked {
            match answer {
                Ok(said) => self.answered.push(Answer { node, said }),
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
