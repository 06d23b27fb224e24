//! How new an answer of the platform has to be.

/// How new an answer of the platform has to be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Freshness {
    /// The newest that was published when the platform answers.
    Newest,
    /// It may be some seconds old, where the platform gives that for less.
    MayLag,
}
