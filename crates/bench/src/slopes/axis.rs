//! Sizes that are varied.

/// A size that is varied while the others stay constant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Axis {
    /// Number of nodes, all in this process.
    Nodes,
    /// Number of nodes, each a process of its own.
    Processes,
    /// Services in the catalogue.
    Services,
    /// Endpoints in the list.
    Endpoints,
    /// Changes per second.
    ChangeRate,
    /// Calls per second at each node.
    CallRate,
    /// Members of the instance list, measured without I/O.
    Members,
}

impl Axis {
    /// All axes.
    pub const ALL: [Axis; 7] = [
        Axis::Nodes,
        Axis::Processes,
        Axis::Services,
        Axis::Endpoints,
        Axis::ChangeRate,
        Axis::CallRate,
        Axis::Members,
    ];

    /// The axis's name on the command line and in reports.
    pub const fn as_str(self) -> &'static str {
        match self {
            Axis::Nodes => "nodes",
            Axis::Processes => "processes",
            Axis::Services => "services",
            Axis::Endpoints => "endpoints",
            Axis::ChangeRate => "change-rate",
            Axis::CallRate => "call-rate",
            Axis::Members => "members",
        }
    }

    /// The axis of this name, or all axes for `all`.
    pub fn select(name: &str) -> Option<Vec<Axis>> {
        if name == "all" {
            return Some(Axis::ALL.to_vec());
        }
        let axis = Axis::ALL.into_iter().find(|axis| axis.as_str() == name)?;
        Some(vec![axis])
    }

    /// The sizes at which it is measured.
    pub(super) const fn measured_sizes(self) -> &'static [f64] {
        match self {
            Axis::Nodes => &[25.0, 50.0, 100.0, 200.0],
            Axis::Processes => &[25.0, 50.0, 100.0],
            Axis::Services => &[100.0, 300.0, 690.0],
            Axis::Endpoints => &[500.0, 1_000.0, 2_000.0, 4_100.0],
            Axis::ChangeRate => &[0.5, 1.0, 2.0],
            Axis::CallRate => &[50.0, 100.0, 200.0],
            Axis::Members => &[500.0, 1_000.0, 2_000.0, 4_100.0],
        }
    }

    /// The size for which the system is designed.
    pub(super) const fn design_size(self) -> f64 {
        match self {
            Axis::Nodes | Axis::Processes | Axis::Endpoints | Axis::Members => 4_100.0,
            Axis::Services => 690.0,
            // 9,000 changes a day.
            Axis::ChangeRate => 9_000.0 / 86_400.0,
            // 850,000 calls a second over 4,100 nodes.
            Axis::CallRate => 850_000.0 / 4_100.0,
        }
    }
}
