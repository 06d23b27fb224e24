//! Times at which processes were hurt on purpose.

use std::net::SocketAddr;

/// What was done to a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OutageKind {
    /// The node was killed; what it had under way can't be answered.
    NodeKilled,
    /// The node stood still and went on later.
    NodePaused,
    /// The target dropped all its connections.
    TargetCrashed,
    /// The target, or what lies between it and other nodes, broke off answers.
    AnswersCut,
    /// What lies between callers and the node broke off connections.
    CallersCut,
    /// The node, at its planned stop, closed connections that were idle. A
    /// request may cross that on its way, and nothing can be said to it.
    IdleClosed,
}

impl OutageKind {
    /// Whether it hurt the node or the way to it, and not the target beside it.
    pub fn is_of_node(self) -> bool {
        matches!(
            self,
            OutageKind::NodeKilled | OutageKind::NodePaused | OutageKind::CallersCut
        )
    }
}

/// When one instance was hurt, and how.
#[derive(Debug, Clone, PartialEq)]
pub struct Outage {
    /// The number of the instance.
    pub instance: usize,
    /// Where its node takes calls from outside.
    pub entry: SocketAddr,
    /// What was done.
    pub kind: OutageKind,
    /// When it began, in microseconds since the Unix epoch.
    pub from_us: u64,
    /// When the process was whole again, on the same clock.
    pub to_us: u64,
}

impl Outage {
    /// Whether it overlaps with a time span.
    pub fn overlaps(&self, from_us: u64, to_us: u64) -> bool {
        self.from_us <= to_us && from_us <= self.to_us
    }
}
