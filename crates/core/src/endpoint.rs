//! What a node says of its own target, and only of that one.

pub use self::phase::Phase;
pub use self::state::EndpointState;

mod phase;
mod state;
