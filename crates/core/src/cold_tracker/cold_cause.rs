//! Why a target is treated as cold.

/// The event from which the tracked cold time of a target follows.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ColdCause {
    /// No event is known.
    #[default]
    Unknown,
    /// The node has started, and its target may have become cold just before.
    NodeStarted,
    /// The first list that contained the target, which may be older than its cold start.
    FirstList,
    /// The instance list reported a cold time.
    Listed,
    /// A request named a generation that the list didn't contain yet.
    RequestedGeneration,
    /// A generation that isn't listed yet declined a request for another one.
    AnsweringGeneration,
    /// The target accepted connections again after it had refused them.
    Restarted,
    /// The evacuation of the target's failure domain ended.
    EvacuationEnded,
    /// The target itself reported its remaining cold time.
    Probed,
}

impl ColdCause {
    /// Whether a generation that isn't listed yet was seen.
    pub(super) const fn is_generation(self) -> bool {
        matches!(
            self,
            ColdCause::RequestedGeneration | ColdCause::AnsweringGeneration
        )
    }

    /// The cause as it appears in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            ColdCause::Unknown => "unknown",
            ColdCause::NodeStarted => "node-started",
            ColdCause::FirstList => "first-list",
            ColdCause::Listed => "listed",
            ColdCause::RequestedGeneration => "requested-generation",
            ColdCause::AnsweringGeneration => "answering-generation",
            ColdCause::Restarted => "restarted",
            ColdCause::EvacuationEnded => "evacuation-ended",
            ColdCause::Probed => "probed",
        }
    }
}
