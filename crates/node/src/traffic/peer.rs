//! The way from a node to another: HTTP/2 over few lasting connections.

mod link;
mod links;
mod stall_timer;
#[cfg(test)]
mod tests;

pub(super) use self::link::LinkFailure;
pub(super) use self::links::Links;
