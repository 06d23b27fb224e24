//! Requests: the listeners for callers and for other nodes, and the way to
//! the target.
//!
//! A request comes from a caller to the first hop ([`caller_side`]), which
//! matches its route and chooses an endpoint. One [`attempt`] goes over HTTP/2
//! to the node beside that endpoint ([`peer_side`]), which admits it, or
//! straight on if that node is this one. [`beside`] hands it to the [`target`].
//!
//! [`caller_side`]: self::caller_side
//! [`attempt`]: self::attempt
//! [`peer_side`]: self::peer_side
//! [`beside`]: self::beside
//! [`target`]: self::target

mod admission;
mod answer;
mod arrival;
mod at_target;
mod attempt;
mod beside;
mod beside_trail;
mod bodies;
mod bounds;
mod caller_side;
mod content;
mod counters;
mod crash_watch;
mod departed;
mod first_hop;
mod head;
mod hub;
mod keyed;
mod listeners;
mod missed;
mod own_life;
mod parents;
mod patience;
mod payload;
mod peer;
mod peer_side;
mod refusal;
mod running;
mod sent;
mod serve;
mod stages;
mod stall;
mod stored;
mod target;
mod threads;
mod trail;
mod unsent_key;
mod worker;

use std::error;
use std::sync::Arc;

use sassafrasspool_core::Result;
use tokio::runtime::Handle;
use tokio_util::sync::CancellationToken;

use self::hub::Hub;
use self::listeners::Listeners;
use crate::Settings;
use crate::Shared;

pub use self::listeners::TrafficAddrs;
pub use self::running::RunningTraffic;

/// Why a body broke off.
type BoxError = Box<dyn error::Error + Send + Sync>;

/// Starts the traffic side of a node.
#[derive(Debug)]
pub struct Traffic;

impl Traffic {
    /// Binds the listeners and starts threads of the node's own.
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
        let threads = threads::start(&hub, listeners, settings.traffic_threads)?;
        Ok(RunningTraffic::new(addrs, hub, threads))
    }

    /// Binds the listeners and runs on `handle`, so that many nodes of one
    /// process can share its threads.
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
        let ended = threads::start_on(handle, &hub, listeners);
        Ok(RunningTraffic::new(addrs, hub, vec![ended]))
    }
}
