//! The cases by name.

/// What fails in a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Case {
    /// All nodes crash at once and come back at once.
    HerdRestart,
    /// The source is out, twice, while changes are published.
    Outage,
    /// The source goes back to an old revision, and nodes restart meanwhile.
    Stale,
    /// Nodes stop for long and wake believing old things.
    Pause,
    /// Regions and failure domains are parted, and heal.
    Partition,
    /// Readers die as a change is published.
    ReaderLoss,
    /// A bad version stands between two good ones while a node restarts.
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

    /// The cases that a name stands for: one, or all of them for `all`.
    pub fn named(name: &str) -> Option<Vec<Case>> {
        if name == "all" {
            return Some(Case::ALL.to_vec());
        }
        let case = Case::ALL.into_iter().find(|case| case.as_str() == name)?;
        Some(vec![case])
    }
}
