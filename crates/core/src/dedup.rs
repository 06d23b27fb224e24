//! Deduplication by request key: at-most-once execution of requests that carry
//! a key and may not be repeated.
//!
//! A caller that received no answer repeats its request with the same key. The
//! key has one owner among the live endpoints of the service, by rendezvous
//! hashing over the instance list. The owner runs a key once, keeps it for a
//! hold time, and answers repeats with the stored answer or reports that the
//! outcome is unknown. Nothing is persisted: a restarted owner has no keys, and
//! the owner changes with the list. Waiting times guard against both.
//!
//! # Conditions for running an unseen key
//!
//! - The owner has a proof, no older than the lease, that its instance list was
//!   the source's newest. An owner that is cut off therefore stops within the
//!   lease after the list changed. The lease is measured on the owner's clock,
//!   which also advances while the process is paused.
//! - It has owned the key for two leases. By then every earlier owner has
//!   stopped, also the owner by a list that this node never received: between
//!   two lists with proofs no further apart than the lease, no other list was
//!   in force for that long.
//! - For an attempt that isn't marked as the first, it has owned the key for
//!   the hold time in addition. Every attempt that an earlier owner, or this
//!   process before its restart, may have run is then older than the hold time,
//!   and callers don't use a key for that long. Until then the outcome is
//!   reported as unknown.
//! - The window has room for the key. A key is kept for the hold time and a
//!   lease after its end, since its last repeat may be in flight for a lease.
//!
//! The lease is checked again right before the hand-over to the target. Under
//! the assumptions below this isn't needed. Where one of them fails, it limits
//! the harm of a pause between the two checks.
//!
//! # Assumptions
//!
//! - All nodes have the same lease and hold time.
//! - A caller uses a key for one operation, for no longer than the hold time,
//!   and marks an attempt as the first only if it has sent none before.
//! - No request is in flight for longer than the lease between the caller's
//!   node and the owner: deadlines bound this time, and a connection ends with
//!   its process.
//! - Between the last check of the lease and the first byte to the target, a
//!   process isn't paused for longer than the lease.
//!
//! # Limits
//!
//! - A source that serves an old list as its newest renews the lease of an
//!   owner that has lost its keys. While one part of the fleet reads such a
//!   source and another part reads the new list, both owners may run one key if
//!   attempts of one caller reach both parts.
//! - A target that crashes after the hand-over leaves the outcome unknown. It
//!   stays unknown, and no repeat is run.
//! - Safety reduces availability: in a long outage of the source all leases
//!   expire, and unseen keys are refused until it is back. Requests without a
//!   key and requests on idempotent routes aren't affected.

pub use self::attempt::Attempt;
pub use self::attempt_decision::AttemptDecision;
pub use self::attempt_decision::StoredAnswer;
pub use self::key::RequestKey;
pub use self::run_permit::RunPermit;
pub use self::settings::DedupSettings;
pub use self::window::DedupWindow;

mod attempt;
mod attempt_decision;
mod key;
mod ownership;
mod run_permit;
mod settings;
mod state;
#[cfg(test)]
mod tests;
mod window;
