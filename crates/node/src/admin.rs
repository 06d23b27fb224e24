//! The admin endpoint: HTTP on loopback for operators.

pub(crate) use self::server::Admin;

mod answers;
mod explain;
mod server;
