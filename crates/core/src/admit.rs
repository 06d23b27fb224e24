//! Admission control at a target's node: which requests run now, which wait shortly, and
//! which are refused at once without being run.
//!
//! A target runs as many requests as it has slots. A request that finds no free slot waits
//! in a short queue, bounded in length and by each request's deadline. A request that can't
//! be served in time is refused as soon as that is known, so that the caller still has time
//! to try elsewhere. Critical requests go first. Standard requests go before background
//! requests by a set weight, so that neither class starves.
//!
//! Within a class the requests that take the least slot time go first. Among those that
//! take about as long, the one that has to start first to meet its soft deadline goes
//! first. If the oldest request went first, under overload every request would wait until
//! its answer is late. This order answers as many requests, and most of them in time.

pub use self::admission::Admission;
pub use self::cold_tolerance::ColdTolerance;
pub use self::permit::Permit;
pub use self::queued::Queued;
pub use self::request::AdmissionDecision;
pub use self::request::AdmissionRequest;
pub use self::request::ColdLimit;
pub use self::settings::AdmissionSettings;
pub(crate) use self::token_bucket::TokenBucket;
pub use self::wake::Waker;

mod admission;
mod cold_tolerance;
mod permit;
mod precedence;
mod queue;
mod queued;
mod request;
mod reserve;
mod service_times;
mod settings;
mod state;
mod target_rate_limiter;
#[cfg(test)]
mod tests;
mod token_bucket;
mod wake;
mod warm_up;
