//! Sizes of what is generated.

/// Services of the size that the system is designed for.
const TARGET_SERVICES: usize = 690;

/// Endpoints of the size that the system is designed for.
const TARGET_ENDPOINTS: usize = 4_100;

/// How many services and endpoints to generate, and from which seed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Shape {
    /// Services in the catalogue; at least one.
    pub services: usize,
    /// Endpoints in the instance list.
    pub endpoints: usize,
    /// What all random choices come from.
    pub seed: u64,
}

impl Shape {
    /// The size that the system is designed for.
    pub const fn target(seed: u64) -> Shape {
        Shape {
            services: TARGET_SERVICES,
            endpoints: TARGET_ENDPOINTS,
            seed,
        }
    }
}
