//! Fault cases and their names.

/// A scripted sequence of faults.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Case {
    /// All nodes crash at once and restart at once.
    HerdRestart,
    /// The source has two outages while changes are published.
    Outage,
    /// The source serves an old revision while nodes restart.
    Stale,
    /// Nodes are paused for long and resume with stale state.
    Pause,
    /// Regions and failure domains are partitioned, and the partitions end.
    Partition,
    /// Readers crash when a change is published.
    ReaderLoss,
    /// An invalid version is published between two valid ones while nodes
    /// restart.
    BadVersion,
    /// Several of these at once, drawn from the seed.
    Mixed,
}

impl Case {
    /// All cases.
    pub const ALL: [Case; 8] = [
        Case::HerdRestart,
        Case::Outage,
        Case::Stale,
        Case::Pause,
        Case::Partition,
        Case::ReaderLoss,
        Case::BadVersion,
        Case::Mixed,
    ];

    /// The case's name on the command line and in reports.
    pub const fn as_str(self) -> &'static str {
        match self {
            Case::HerdRestart => "herd-restart",
            Case::Outage => "outage",
            Case::Stale => "stale",
            Case::Pause => "pause",
            Case::Partition => "partition",
            Case::ReaderLoss => "reader-loss",
            Case::BadVersion => "bad-version",
            Case::Mixed => "mixed",
        }
    }

    /// The case of this name, or all cases for `all`.
    pub fn select(name: &str) -> Option<Vec<Case>> {
        if name == "all" {
            return Some(Case::ALL.to_vec());
        }
        let case = Case::ALL.into_iter().find(|case| case.as_str() == name)?;
        Some(vec![case])
    }
}
