//! The control side: one task that drives the decisions of spreading and
//! carries out what they say.
//!
//! The decisions see events one after the other. Whatever takes time, such as
//! calls to peers, reads of the platform and probes of the target, runs beside
//! it and comes back as an event.

pub(crate) use self::counts::ControlCounts;
pub(crate) use self::event::ControlEvent;
pub use self::gate::Gate;
pub(crate) use self::handle::ControlHandle;
pub(crate) use self::inbound::Inbound;
pub(crate) use self::leaving::Leaving;
pub(crate) use self::life::Control;
pub use self::life::StopReport;
pub(crate) use self::machine::Machine;
pub(crate) use self::outside::Outside;
pub(crate) use self::source_reach::SourceReach;

mod counts;
mod event;
mod gate;
mod handle;
mod inbound;
mod leaving;
mod life;
mod machine;
mod outside;
mod probe;
mod pump;
mod source_reach;
#[cfg(test)]
mod tests;
mod views;
