//! Passive detection of endpoints that fail, from the answers themselves.
//!
//! The platform's health endpoint lags or misleads, so that only what happened
//! to requests counts: no connection, errors in a row, answers much slower than
//! those of the service's other endpoints. Such an endpoint is left out for a
//! time that grows with each repetition, but never more than a set share of a
//! service: when most of it looks broken, the fault is likelier elsewhere.

pub use self::settings::EjectSettings;
pub use self::verdict::Verdict;

pub(crate) use self::health::Health;

mod health;
mod settings;
#[cfg(test)]
mod tests;
mod verdict;
