//! The cases.

pub(crate) mod rejected_readers;
pub(crate) mod silent_target;
pub(crate) mod younger_start;

/// The result of a case.
#[derive(Debug)]
pub(crate) struct Verdict {
    pub(crate) is_broken: bool,
    /// What was counted.
    pub(crate) text: String,
}
