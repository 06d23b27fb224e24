//! Admission beside a target: what runs now, what waits shortly, and what is
//! refused at once as not run.
//!
//! A target runs as many requests as it has slots. What finds no slot waits in
//! a short queue, bounded in length and by each request's deadline; what can't
//! be served in time is refused as soon as that is known, so that the caller
//! can act while there is time. Critical work goes first; standard work goes
//! before background work by a set weight, so that neither stops for good.
//!
//! Within a class those go first that take the least of a slot's time, and of
//! those that take as long the ones whose answer can still be worth most to their
//! callers. Were the oldest to go first, under more load than the target bears
//! all would wait until their answers are late; so as many are answered, but
//! most of them in time.

pub use self::ask::Ask;
pub use self::ask::ColdLimit;
pub use self::ask::Offer;
pub(crate) use self::bucket::Bucket;
pub use self::cold_tolerance::ColdTolerance;
pub use self::control::Admission;
pub use self::permit::Permit;
pub use self::queued::Queued;
pub use self::settings::AdmissionSettings;
pub use self::wake::Waker;

mod ask;
mod bucket;
mod cold_tolerance;
mod control;
mod permit;
mod precedence;
mod queue;
mod queued;
mod reserve;
mod settings;
mod state;
#[cfg(test)]
mod tests;
mod took;
mod wake;
mod warm_up;
