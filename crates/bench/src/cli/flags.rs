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
    }
}
