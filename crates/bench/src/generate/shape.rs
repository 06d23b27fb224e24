//! Sizes of generated catalogues and instance lists.

/// Number of services for which the system is designed.
const DESIGN_SERVICES: usize = 690;

/// Number of endpoints for which the system is designed.
const DESIGN_ENDPOINTS: usize = 4_100;

/// Number of services and endpoints to generate, and the seed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Shape {
    /// Services in the catalogue; at least one.
    pub services: usize,
    /// Endpoints in the instance list.
    pub endpoints: usize,
    /// Seed of all random choices.
    pub seed: u64,
}

impl Shape {
    /// The size for which the system is designed.
    pub const fn design_size(seed: u64) -> Shape {
        Shape {
            services: DESIGN_SERVICES,
            endpoints: DESIGN_ENDPOINTS,
            seed,
        }
    }
}
