//! The state that a node publishes for its own target, and for no other.

pub use self::phase::Phase;
pub use self::state::EndpointState;

mod phase;
mod state;
