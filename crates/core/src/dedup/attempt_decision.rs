//! The owner's decision on an attempt, and stored answers.

use std::sync::Arc;

use crate::Refusal;
use crate::RunPermit;

/// An answer as the window stores it. The node that uses the window chooses its
/// content.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredAnswer {
    /// The status code.
    pub status: u16,
    /// Names and values of the headers that repeats receive.
    pub headers: Vec<(String, Vec<u8>)>,
    /// The whole body.
    pub body: Vec<u8>,
}

impl StoredAnswer {
    /// Its size in bytes, as counted against the window's bounds.
    pub(super) fn bytes(&self) -> usize {
        let header = |(name, value): &(String, Vec<u8>)| name.len() + value.len();
        self.body.len() + self.headers.iter().map(header).sum::<usize>()
    }
}

/// The owner's decision on an attempt.
#[derive(Debug)]
pub enum AttemptDecision {
    /// The key is proved to be unused: run the request and report its end.
    Run(RunPermit),
    /// The request has run with this answer.
    Answer(Arc<StoredAnswer>),
    /// The request isn't run.
    Refuse(Refusal),
}
