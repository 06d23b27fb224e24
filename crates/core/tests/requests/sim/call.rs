//! The state of a simulated request.

use sassafrasspool_core::Class;
use sassafrasspool_core::Deadline;
use sassafrasspool_core::EndpointKey;
use sassafrasspool_core::GatePass;
use sassafrasspool_core::HandedOver;
use sassafrasspool_core::Picked;
use sassafrasspool_core::Queued;
use sassafrasspool_core::Received;
use sassafrasspool_core::Request;
use sassafrasspool_core::RetryState;

/// A request with its attempts and its position in a queue or at an endpoint.
pub(super) struct Call {
    pub(super) class: Class,
    pub(super) caller: usize,
    pub(super) deadline: Deadline,
    pub(super) retry: RetryState,
    pub(super) avoid: Vec<EndpointKey>,
    pub(super) picked: Option<Picked>,
    pub(super) endpoint: usize,
    pub(super) incarnation: u64,
    pub(super) queued: Option<(Queued, Request<Received>)>,
    pub(super) running: Option<(Request<HandedOver>, GatePass)>,
    pub(super) naive_run: bool,
    pub(super) ended: bool,
}
