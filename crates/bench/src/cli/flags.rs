//! Flags of each verb.

xflags::xflags! {
    /// Measure the node code over loopback.
    cmd sassafrasspool-bench {
        /// Print a generated catalogue.
        cmd generate {
            /// Services in the catalogue (690).
            optional --services services: usize
            /// Seed of all random choices (1).
            optional --seed seed: u64
        }
        /// Publish changes and measure the time and cost of their dissemination.
        cmd spread {
            /// Number of running nodes, all in this process (50).
            optional --nodes nodes: usize
            /// Changes to publish (10).
            optional --changes changes: usize
            /// Seed of all random choices (1).
            optional --seed seed: u64
            /// Make every node read the platform itself.
            optional --naive
            /// Services in the catalogue (690).
            optional --services services: usize
            /// Endpoints in the list; those beyond `--nodes` have no node (4100).
            optional --endpoints endpoints: usize
            /// Interval between two changes, in milliseconds (1000).
            optional --pace-ms pace_ms: u64
            /// How long the idle fleet is measured, in seconds (6).
            optional --idle-s idle_s: f64
            /// Number of peers to which a new version is announced at once.
            optional --fanout fanout: u32
            /// Interval of anti-entropy, in milliseconds.
            optional --interval-ms interval_ms: u64
            /// Delay before an announcement is forwarded, in milliseconds.
            optional --linger-ms linger_ms: u64
            /// Largest change that is sent with its announcement, in bytes.
            optional --eager-bytes eager_bytes: u64
            /// Readers in each failure domain.
            optional --readers readers: u32
            /// Percentage of peers picked outside of the failure domain.
            optional --cross-percent cross_percent: u32
            /// Longest time that the platform holds a watch, in milliseconds.
            optional --watch-ms watch_ms: u64
            /// Make the platform serve its values compressed.
            optional --compress
        }
        /// Inject faults of nodes, network and source, and check the versions in force.
        cmd fault {
            /// Name of the case, or `all` (all).
            optional --case case: String
            /// Number of running nodes, all in this process (24).
            optional --nodes nodes: usize
            /// Seed of all random choices (1).
            optional --seed seed: u64
            /// Services in the catalogue (40).
            optional --services services: usize
            /// Endpoints in the list; those beyond `--nodes` have no node (60).
            optional --endpoints endpoints: usize
            /// Make every node read the platform itself.
            optional --naive
        }
        /// Measure the cost of one node's state machine without I/O.
        cmd core-cost {
            /// Members of the instance list, each with a node (4100).
            optional --members members: usize
            /// Services in the catalogue (690).
            optional --services services: usize
            /// Seed of all random choices (1).
            optional --seed seed: u64
        }
        /// Measure how costs grow with the size of the system, and fit lines.
        cmd slopes {
            /// The size to vary, or `all` (all): nodes, processes, services,
            /// endpoints, change-rate, call-rate or members.
            optional --axis axis: String
            /// Seed of all random choices (1).
            optional --seed seed: u64
            /// Also print the table of the capacity page on standard error.
            optional --markdown
        }
        /// Offer more calls than the capacity of the slots, with and without admission.
        cmd overload {
            /// Number of instances, each with its node (4).
            optional --nodes nodes: usize
            /// Offered load as a multiple of the capacity of the slots (2).
            optional --factor factor: f64
            /// Duration of each of the two runs, in seconds (8).
            optional --seconds seconds: f64
            /// Seed of the random calls (1).
            optional --seed seed: u64
        }
        /// Compare calls through two nodes with direct ones to the same target.
        cmd calls {
            /// Number of instances, each with its node (4).
            optional --nodes nodes: usize
            /// Calls per second that are sent to each node (210).
            optional --rate rate: f64
            /// Duration of the measured load, in seconds (10).
            optional --seconds seconds: f64
            /// Seed of the random calls (1).
            optional --seed seed: u64
            /// Size of the longest answer, in bytes (1000).
            optional --answer-bytes answer_bytes: usize
        }
        /// Make calls while faults are injected, and check their outcomes.
        cmd chaos {
            /// Number of instances, each with its node (8).
            optional --nodes nodes: usize
            /// Duration of the load, in seconds (10).
            optional --seconds seconds: f64
            /// Seed of the random calls and faults (1).
            optional --seed seed: u64
            /// Calls per second and instance (50).
            optional --rate rate: f64
            /// Use the naive proxy instead of nodes.
            optional --naive
            /// Keep the nodes' logs if a guarantee was violated.
            optional --keep-logs
        }
    }
}
