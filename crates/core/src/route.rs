//! Choosing the endpoint that a request goes to.
//!
//! [`Meters`] is what a node knows of endpoints and outlives every snapshot: its
//! own requests in flight, the load that answers reported, what went wrong. A
//! [`Picker`] binds it to one snapshot. It chooses in the node's own failure
//! domain first, then in its region, then elsewhere, each time the one of least cost,
//! by load and speed, among some drawn at random, and goes on to the next when that one
//! is full.

pub use self::meters::Intake;
pub use self::meters::Meters;
pub use self::picked::Picked;
pub use self::picker::Picker;
pub use self::position::Position;
pub use self::settings::RouteSettings;

pub(crate) use self::rendezvous::Score;

mod candidate;
mod meter;
mod meters;
mod pace;
mod picked;
mod picker;
mod position;
mod rate;
mod rendezvous;
mod service;
mod settings;
mod subset;
#[cfg(test)]
mod tests;

/// A share that is given in percent.
fn percent(n: u32) -> f32 {
    n as f32 / 100.0
}
