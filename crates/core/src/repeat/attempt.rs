//! What the caller says of an attempt.

/// Whether earlier attempts with the same key may have been sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Attempt {
    /// The caller vouches that this is the first.
    First,
    /// It may be a repeat.
    MayRepeat,
}
