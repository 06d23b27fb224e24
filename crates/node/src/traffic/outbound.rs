//! Sends requests of callers to endpoints: routing, the choice of an endpoint, attempts.

pub(super) mod access_log;
pub(super) mod attempt;
pub(super) mod caller_side;
pub(super) mod departed;
pub(super) mod first_hop;
pub(super) mod kind_timeouts;
pub(super) mod returns;
