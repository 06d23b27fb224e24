//! From a caller to an endpoint: routing, the choice, the attempts.

pub(super) mod access_log;
pub(super) mod attempt;
pub(super) mod caller_side;
pub(super) mod departed;
pub(super) mod first_hop;
pub(super) mod patience;
