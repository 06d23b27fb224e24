//! Injected outages: time spans in which a process or its connections failed.

use std::net::SocketAddr;

/// The fault that was injected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OutageKind {
    /// The node was killed. Its requests in flight can't be answered.
    NodeKilled,
    /// The node's process was paused and resumed later.
    NodePaused,
    /// The target dropped all its connections.
    TargetCrashed,
    /// The target, or a link between it and other nodes, broke off answers.
    AnswersCut,
    /// A link between callers and the node broke off connections.
    CallerConnectionsCut,
    /// The node closed idle connections when it drained. A request that is sent at
    /// the same moment can't get an answer.
    IdleConnectionsClosed,
}

impl OutageKind {
    /// Whether it affects the node or the connections to it, and not its target.
    pub fn affects_node(self) -> bool {
        matches!(
            self,
            OutageKind::NodeKilled | OutageKind::NodePaused | OutageKind::CallerConnectionsCut
        )
    }
}

/// One injected outage of an instance.
#[derive(Debug, Clone, PartialEq)]
pub struct Outage {
    /// The number of the instance.
    pub instance: usize,
    /// The address of its node for callers.
    pub entry: SocketAddr,
    /// The kind of fault.
    pub kind: OutageKind,
    /// When it began, in microseconds since the Unix epoch.
    pub from_us: u64,
    /// When it ended, on the same clock.
    pub to_us: u64,
}

impl Outage {
    /// Whether it overlaps with a time span in microseconds.
    pub fn overlaps(&self, from_us: u64, to_us: u64) -> bool {
        self.from_us <= to_us && from_us <= self.to_us
    }
}
