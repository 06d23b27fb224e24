//! What an owner does with an attempt.

use std::sync::Arc;

use crate::Refusal;
use crate::Running;

/// An answer as the window stores it.
///
/// What is in it is the node's affair: a status, headers and a body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredAnswer {
    /// The status code.
    pub status: u16,
    /// Names and values of the headers that are given again.
    pub headers: Vec<(String, Vec<u8>)>,
    /// The whole body.
    pub body: Vec<u8>,
}

impl StoredAnswer {
    /// How many bytes it counts for.
    pub(super) fn bytes(&self) -> usize {
        let header = |(name, value): &(String, Vec<u8>)| name.len() + value.len();
        self.body.len() + self.headers.iter().map(header).sum::<usize>()
    }
}

/// The verdict over an attempt.
#[derive(Debug)]
pub enum Begin {
    /// It is proved to be new: run it, and tell how it ended.
    Run(Running),
    /// It has run, and this was the answer.
    Answer(Arc<StoredAnswer>),
    /// It isn't run.
    Refuse(Refusal),
}
