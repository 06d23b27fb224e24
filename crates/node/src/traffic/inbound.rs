//! The last hop of requests: admission, the hand-over to the local target, and the answer.

pub(super) mod access_log;
pub(super) mod admission;
pub(super) mod body_intake;
pub(super) mod exchange;
pub(super) mod forward;
pub(super) mod inbound_request;
pub(super) mod peer_side;
pub(super) mod unsent_key;
