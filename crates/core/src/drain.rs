//! Planned stops: refuse new requests, finish those in flight, then stop.
//!
//! A target and its node are drained separately. While only the target drains,
//! the node still forwards the calls that the target makes.

pub use self::atomic_word::AtomicWord;
pub use self::gate::Gate;
pub use self::gate::GatePass;
pub use self::stage::Drain;
pub use self::stage::Draining;
pub use self::stage::Progress;
pub use self::stage::Serving;
pub use self::stage::Stopped;

mod atomic_word;
mod gate;
mod stage;
#[cfg(test)]
mod tests;
