//! How new an answer of the platform has to be.

/// How new an answer of the platform has to be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Freshness {
    /// The newest version that is published when the platform answers.
    Newest,
    /// The answer may be some seconds old, if the platform serves such answers
    /// at a lower cost.
    MayLag,
}
