//! The caller's mark of an attempt.

/// Whether earlier attempts with the same key may have been sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Attempt {
    /// The caller states that it has sent no earlier attempt.
    First,
    /// Earlier attempts may have been sent.
    MayRepeat,
}
