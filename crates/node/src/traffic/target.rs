//! The way from a node to its own target: HTTP/1.1 over few connections.

mod body;
mod connection;
pub(super) mod crash_watch;
mod exchange;
pub(super) mod lives;
mod pool;

pub(super) use self::body::TargetBody;
pub(super) use self::connection::Connection;
pub(super) use self::exchange::Failure;
pub(super) use self::exchange::exchange;
pub(super) use self::pool::Lost;
pub(super) use self::pool::Pool;
pub(super) use self::pool::WorkerIndex;
pub(super) use self::pool::find_lost;
pub(super) use self::pool::take;
