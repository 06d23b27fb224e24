//! The node's control side: one task that drives dissemination and carries out
//! its actions.
//!
//! Dissemination handles events one at a time. Operations that take time run as
//! separate tasks: calls to peers, reads of the platform and probes of the
//! target. Their results return to the control task as events.

pub(crate) use self::context::ControlContext;
pub(crate) use self::counts::ControlCounts;
pub(crate) use self::drain_cause::DrainCause;
pub(crate) use self::driver::ControlDriver;
pub(crate) use self::event::ControlEvent;
pub use self::fault_injector::FaultInjector;
pub(crate) use self::handle::ControlHandle;
pub(crate) use self::peer_message_handler::PeerMessageHandler;
pub(crate) use self::source_monitor::SourceMonitor;
pub(crate) use self::task::ControlTask;
pub use self::task::StopReport;

mod context;
mod counts;
mod drain_cause;
mod driver;
mod event;
mod event_loop;
mod fault_injector;
mod handle;
mod peer_message_handler;
mod probe;
mod source_monitor;
mod task;
#[cfg(test)]
mod tests;
mod view_publisher;
