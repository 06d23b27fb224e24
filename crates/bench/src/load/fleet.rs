//! A fleet whose nodes are processes. Their targets and the platform run inside this
//! process.
//!
//! Nodes are processes so that they can be killed and paused as in production,
//! and so that their processor time is measured apart from that of the callers
//! and targets.

pub use self::member::Member;
pub use self::running_fleet::Fleet;
pub use self::settings::Listen;
pub use self::settings::node_settings;
pub use self::spec::DOMAINS;
pub use self::spec::FleetSpec;
pub use self::spec::InstanceSpec;

mod member;
mod running_fleet;
mod settings;
mod spec;
