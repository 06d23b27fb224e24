//! Who reads the platform, when, and how often.
//!
//! The platform answers a bounded number of reads a second, a waiting watch
//! counts as one, and the fleet grows faster than that bound. Only a few
//! nodes of each failure domain read; the others hear from peers and step in
//! when nobody reads any more.

pub(crate) use self::backoff::Backoff;
pub(crate) use self::budget::ReadBudget;
pub(crate) use self::choice::Place;
pub(crate) use self::contact::ContactClock;
pub(crate) use self::role::Role;

mod backoff;
mod budget;
mod choice;
mod contact;
mod role;
#[cfg(test)]
mod tests;
