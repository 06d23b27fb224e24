//! A whole node: the control side, the traffic side and the admin address.

pub use self::adapter::Adapter;
pub use self::addrs::NodeAddrs;
pub use self::running::RunningNode;
pub use self::start::Node;

mod adapter;
mod addrs;
mod listeners;
mod readiness;
mod running;
mod spread;
mod start;
