//! The flags of each verb.

xflags::xflags! {
    /// Measurements on the real node code over loopback.
    cmd sassafrasspool-bench {
        /// Print a generated catalogue.
        cmd generate {
            /// Services in the catalogue (690).
            optional --services services: usize
            /// What all random choices come from (1).
            optional --seed seed: u64
        }
        /// Publish changes and measure how fast and at what cost they spread.
        cmd spread {
            /// Nodes that run, all in this process (50).
            optional --nodes nodes: usize
            /// Changes to publish (10).
            optional --changes changes: usize
            /// What all random choices come from (1).
            optional --seed seed: u64
            /// Let every node read the platform for itself.
            optional --naive
            /// Services in the catalogue (690).
            optional --services services: usize
            /// Endpoints in the list, those beyond the nodes without one (4100).
            optional --endpoints endpoints: usize
            /// Milliseconds from one change to the next (1000).
            optional --pace-ms pace_ms: u64
            /// Seconds that the idle fleet is measured (6).
            optional --idle-s idle_s: f64
            /// Peers that hear of news at once.
            optional --fanout fanout: u32
            /// Milliseconds between regular comparisons.
            optional --interval-ms interval_ms: u64
            /// Milliseconds that news is held back.
            optional --linger-ms linger_ms: u64
            /// The largest change that goes with its announcement, in bytes.
            optional --eager-bytes eager_bytes: u64
            /// Readers in each failure domain.
            optional --readers readers: u32
            /// Percent of peers outside of the failure domain.
            optional --cross-percent cross_percent: u32
            /// Milliseconds that the platform may hold a watching read.
            optional --watch-ms watch_ms: u64
            /// Let the platform hand out its values compressed.
            optional --compress
        }
        /// Let nodes, network and source fail, and judge what was in force.
        cmd fault {
            /// The case, or `all` (all).
            optional --case case: String
            /// Nodes that run, all in this process (24).
            optional --nodes nodes: usize
            /// What all random choices come from (1).
            optional --seed seed: u64
            /// Services in the catalogue (40).
            optional --services services: usize
            /// Endpoints in the list, those beyond the nodes without one (60).
            optional --endpoints endpoints: usize
            /// Let every node read the platform for itself.
            optional --naive
        }
        /// Measure one node's decisions without I/O at any fleet size.
        cmd core-cost {
            /// Members of the list, each with a node (4100).
            optional --members members: usize
            /// Services in the catalogue (690).
            optional --services services: usize
            /// What all random choices come from (1).
            optional --seed seed: u64
        }
        /// Measure how costs grow with sizes, and fit lines.
        cmd slopes {
            /// The size to vary, or `all` (all): nodes, processes, services,
            /// endpoints, change-rate, call-rate or members.
            optional --axis axis: String
            /// What all random choices come from (1).
            optional --seed seed: u64
            /// Print the table of the capacity page on standard error too.
            optional --markdown
        }
        /// Offer more calls than the slots can do, with and without admission.
        cmd overload {
            /// Instances, each with its node (4).
            optional --nodes nodes: usize
            /// Calls offered over what the slots can do (2).
            optional --factor factor: f64
            /// How long each of the two runs is (8).
            optional --seconds seconds: f64
            /// What the calls are drawn from (1).
            optional --seed seed: u64
        }
        /// Compare calls through two nodes with direct ones to the same target.
        cmd calls {
            /// Instances, each with its node (4).
            optional --nodes nodes: usize
            /// Calls a second that enter at each node (210).
            optional --rate rate: f64
            /// How long calls are measured (10).
            optional --seconds seconds: f64
            /// What the calls are drawn from (1).
            optional --seed seed: u64
            /// The longest answer in bytes (1000).
            optional --answer-bytes answer_bytes: usize
        }
        /// Make calls while everything fails, and judge what became of them.
        cmd chaos {
            /// Instances, each with its node (8).
            optional --nodes nodes: usize
            /// How long calls are made (10).
            optional --seconds seconds: f64
            /// What calls and faults are drawn from (1).
            optional --seed seed: u64
            /// Calls a second for each instance (50).
            optional --rate rate: f64
            /// Use the naive version instead of nodes.
            optional --naive
            /// Keep the nodes' logs if a promise was broken.
            optional --keep-logs
        }
    }
}
