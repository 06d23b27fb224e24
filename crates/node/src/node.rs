//! A whole node: the control side, the traffic side and the admin address.

pub use self::addrs::NodeAddrs;
pub use self::running::RunningNode;
pub use self::start::Node;

mod addrs;
mod listeners;
mod running;
mod spread;
mod start;
