//! At most once, for requests that carry a key and may not be repeated.
//!
//! A caller that got no answer sends its request again under the same key. The
//! key has one owner among the live endpoints of the service, by rendezvous
//! hashing over the instance list. The owner runs a key once, remembers it for
//! a hold time, and answers repeats from memory or tells that the outcome is
//! unknown. Nothing is written anywhere: an owner that restarts has forgotten,
//! and the owner changes with the list. Both are fenced by time.
//!
//! # What an owner must hold before it runs an unseen key
//!
//! - Its instance list was proved to be the source's newest at most a lease
//!   ago. An owner that is cut off stops within the lease after the list moved,
//!   measured on its own clock, which counts on while a process is paused.
//! - It has owned the key for two leases. By then every earlier owner has
//!   stopped, also one of a list that this node never saw: between two lists
//!   that it held, with proofs no further apart than the lease, no other list
//!   was in force for so long.
//! - For an attempt that isn't vouched for as the first, it has owned the key
//!   for the hold time on top. Every attempt that an earlier owner, or this
//!   process before its restart, may have run is then older than the hold time,
//!   and callers don't use a key that long. Until then the answer is unknown.
//! - There is room to remember it. A key is kept for the hold time and a lease
//!   after its end, since its last repeat may be under way for so long.
//!
//! The lease is looked at again right before the hand-over. Under what is
//! assumed below this isn't needed; it narrows what a pause between the two
//! looks can do where an assumption fails.
//!
//! # What is assumed
//!
//! - All nodes have the same lease and hold time.
//! - A caller uses a key for one operation, for no longer than the hold time,
//!   and marks an attempt as the first only if it has sent none before.
//! - No request stays under way for longer than the lease between the node that
//!   took it and its owner: deadlines end it there, and a connection ends with
//!   its process.
//! - Between the last look at the lease and the first byte to the target, a
//!   process isn't paused for longer than the lease.
//!
//! # What remains
//!
//! - A source that serves an old list as its newest renews the lease of an
//!   owner that has lost its keys. While part of the fleet reads such a source
//!   and another part reads the new list, both owners may run one key, if
//!   attempts of one caller reach both parts.
//! - Targets that crash after the hand-over leave the outcome unknown. It stays
//!   unknown; no repeat is run.
//! - Safety is paid for in availability: a long outage of the source ends all
//!   leases, and unseen keys are refused until it is back. Requests without a
//!   key and requests on idempotent routes go on.

pub use self::attempt::Attempt;
pub use self::attempt_decision::Begin;
pub use self::attempt_decision::StoredAnswer;
pub use self::key::RequestKey;
pub use self::run_permit::Running;
pub use self::settings::RepeatSettings;
pub use self::window::RepeatWindow;

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
