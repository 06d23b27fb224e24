//! Beside the target: admission, and the way to the target and back.

pub(super) mod access_log;
pub(super) mod admission;
pub(super) mod body_intake;
pub(super) mod exchange;
pub(super) mod forward;
pub(super) mod hand_over;
pub(super) mod peer_side;
pub(super) mod unsent_key;
