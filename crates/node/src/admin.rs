//! The admin endpoint: HTTP on loopback for operators.

pub(crate) use self::server::AdminServer;

mod answers;
mod explain;
mod server;
