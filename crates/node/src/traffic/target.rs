//! Connections of a node to its local target, over HTTP/1.1.

mod body;
mod connection;
pub(super) mod crash_watch;
mod exchange;
pub(super) mod local_generations;
mod pool;

pub(super) use self::body::TargetBody;
pub(super) use self::connection::Connection;
pub(super) use self::exchange::ExchangeFailure;
pub(super) use self::exchange::exchange;
pub(super) use self::pool::BreakScope;
pub(super) use self::pool::ConnectionNumber;
pub(super) use self::pool::Pool;
pub(super) use self::pool::WorkerIndex;
pub(super) use self::pool::acquire;
pub(super) use self::pool::diagnose_break;
