//! The node: a small sidecar proxy process beside each target instance.
//!
//! A control thread keeps the configuration current and the traffic threads
//! forward requests. They share only [`Shared`], which the traffic threads read
//! without waiting for the control thread.

mod admin;
mod audit;
mod control;
mod dependency_monitor;
mod dialect;
mod lifecycle;
pub mod log;
mod metrics;
mod node;
pub mod program;
pub mod settings;
mod shared;
#[cfg(test)]
mod testing;
mod traffic;

pub use crate::audit::AuditTrail;
pub use crate::control::FaultInjector;
pub use crate::control::StopReport;
pub use crate::dialect::Dialect;
pub use crate::node::Adapter;
pub use crate::node::Node;
pub use crate::node::NodeAddrs;
pub use crate::node::RunningNode;
pub use crate::settings::Settings;
pub use crate::shared::Clock;
pub use crate::shared::ContactAge;
pub use crate::shared::InFlight;
pub use crate::shared::InFlightGuard;
pub use crate::shared::NewestRevision;
pub use crate::shared::Routes;
pub use crate::shared::Shared;
pub use crate::shared::View;
pub use crate::traffic::RunningTraffic;
pub use crate::traffic::Traffic;
pub use crate::traffic::TrafficAddrs;
