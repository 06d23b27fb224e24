//! The request path: the listeners for callers and for other nodes, routing, and the
//! connections to the target.
//!
//! A request passes these layers in this order. Each uses only the layers below it:
//!
//! | module | what it does |
//! |---|---|
//! | [`listener`] | accepts connections, serves requests on them, drains |
//! | [`outbound`] | first hop: matches the route, chooses endpoints, retries |
//! | [`peer`] | forwards an attempt to the endpoint's node, over HTTP/2 |
//! | [`inbound`] | the target's node: quarantine, admission, passing the request to the target |
//! | [`target`] | connections to the local target, over HTTP/1.1 |
//!
//! The other modules are shared by the layers: heads and bodies, answers, refusals,
//! counters, and the state that the threads of a node share ([`hub`]).
//!
//! [`listener`]: self::listener
//! [`outbound`]: self::outbound
//! [`peer`]: self::peer
//! [`inbound`]: self::inbound
//! [`target`]: self::target
//! [`hub`]: self::hub

mod answer_body;
mod answer_memory;
mod body_memory;
mod bounds;
mod content;
mod counters;
mod failed_attempt;
mod failure_response;
mod head;
mod hub;
mod inbound;
mod keyed_attempt;
mod link_dispatch;
mod listener;
mod outbound;
mod parents;
mod payload;
mod peer;
mod source_timer;
mod stage_latencies;
mod stored_answer;
mod target;
mod worker;

use std::error;
use std::sync::Arc;

use sassafrasspool_core::Result;
use tokio::runtime::Handle;
use tokio_util::sync::CancellationToken;

use self::hub::Hub;
use self::listener::listeners::Listeners;
use crate::Settings;
use crate::Shared;

pub use self::listener::listeners::TrafficAddrs;
pub use self::listener::running::RunningTraffic;

/// The error of a body that broke off.
type BoxError = Box<dyn error::Error + Send + Sync>;

/// Starts the traffic side of a node.
#[derive(Debug)]
pub struct Traffic;

impl Traffic {
    /// Binds the listeners and starts the node's own threads.
    ///
    /// # Errors
    ///
    /// Fails if a listener can't be bound or a thread can't be started.
    pub fn start(
        settings: &Settings,
        shared: Arc<Shared>,
        cancel: CancellationToken,
    ) -> Result<RunningTraffic> {
        let listeners = Listeners::bind(&settings.listen)?;
        let addrs = listeners.addrs();
        let hub = Arc::new(Hub::new(settings, shared, cancel)?);
        let threads = listener::threads::start(&hub, listeners, settings.traffic_threads)?;
        Ok(RunningTraffic::new(addrs, hub, threads))
    }

    /// Binds the listeners and serves them on the runtime of `handle`, so that many nodes in
    /// one process can share its threads.
    ///
    /// # Errors
    ///
    /// Fails if a listener can't be bound.
    pub fn start_on(
        handle: &Handle,
        settings: &Settings,
        shared: Arc<Shared>,
        cancel: CancellationToken,
    ) -> Result<RunningTraffic> {
        let listeners = Listeners::bind(&settings.listen)?;
        let addrs = listeners.addrs();
        let hub = Arc::new(Hub::new(settings, shared, cancel)?);
        let ended = listener::threads::start_on(handle, &hub, listeners);
        Ok(RunningTraffic::new(addrs, hub, vec![ended]))
    }
}
