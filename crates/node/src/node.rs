//! A whole node: the control side, the traffic side and the admin server.

pub use self::adapter::Adapter;
pub use self::addrs::NodeAddrs;
pub use self::running::RunningNode;
pub use self::start::Node;

mod adapter;
mod addrs;
mod dissemination;
mod listeners;
mod readiness;
mod running;
mod start;
