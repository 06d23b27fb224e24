//! Outlier ejection: passive detection of failing endpoints from the outcomes of requests.
//!
//! The platform's health endpoint lags or misleads, so that only the outcomes of requests
//! count: failed connections, consecutive errors, and answers much slower than the average
//! of the service. Such an endpoint is ejected for a time that grows with each repetition.
//! Never more than a set share of a service is ejected: when most of it looks broken, the
//! fault is more likely elsewhere.

pub use self::attempt_outcome::AttemptOutcome;
pub use self::settings::EjectSettings;

pub(crate) use self::health::Health;

mod attempt_outcome;
mod health;
mod settings;
#[cfg(test)]
mod tests;
