//! Starts the traffic threads and closes their connections at the node's stop.

use std::sync::Arc;
use std::thread;

use sassafrasspool_core::Error;
use sassafrasspool_core::Phase;
use sassafrasspool_core::Reason;
use sassafrasspool_core::Result;
use sassafrasspool_core::Step;
use tokio::runtime;
use tokio::runtime::Handle;
use tokio::sync::oneshot;

use crate::traffic::bounds::CLOSE_DELAY;
use crate::traffic::hub::Hub;
use crate::traffic::link_dispatch;
use crate::traffic::listener::listeners::Listeners;
use crate::traffic::listener::serve;
use crate::traffic::listener::serve::Port;
use crate::traffic::outbound::caller_side::CallerPort;
use crate::traffic::target::WorkerIndex;
use crate::traffic::worker::Worker;

/// Starts `count` threads, each with its own runtime. A request stays on the thread that
/// accepted it, so no wake-up crosses threads.
///
/// # Errors
///
/// Fails if a thread or its runtime can't be started.
pub(in crate::traffic) fn start(
    hub: &Arc<Hub>,
    listeners: Listeners,
    count: usize,
) -> Result<Vec<oneshot::Receiver<()>>> {
    let mut threads = Vec::with_capacity(count);
    for index in 0..count.max(1) {
        let listeners = listeners.try_clone()?;
        threads.push(start_one(Arc::clone(hub), index, listeners)?);
    }
    Ok(threads)
}

/// Serves the listeners in a task on `handle`. The returned channel closes once the
/// listeners are closed, so that a stopped node has freed its ports.
pub(in crate::traffic) fn start_on(
    handle: &Handle,
    hub: &Arc<Hub>,
    listeners: Listeners,
) -> oneshot::Receiver<()> {
    let (ended_tx, ended_rx) = oneshot::channel();
    let serve = serve_listeners(Arc::clone(hub), 0, listeners);
    handle.spawn(async move {
        serve.await;
        drop(ended_tx);
    });
    ended_rx
}

fn start_one(
    hub: Arc<Hub>,
    index: WorkerIndex,
    listeners: Listeners,
) -> Result<oneshot::Receiver<()>> {
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(thread_error)?;
    let (ended_tx, ended_rx) = oneshot::channel();
    thread::Builder::new()
        .name(format!("traffic-{index}"))
        .spawn(move || {
            runtime.block_on(async move {
                serve_listeners(Arc::clone(&hub), index, listeners).await;
                hub.connections.wait().await;
            });
            drop(ended_tx);
        })
        .map_err(thread_error)?;
    Ok(ended_rx)
}

fn thread_error(err: std::io::Error) -> Error {
    Error::new(Step::Connect, "cannot start a traffic thread").with_cause(err)
}

/// Serves the three listeners until the node closes them.
pub(in crate::traffic) async fn serve_listeners(
    hub: Arc<Hub>,
    index: WorkerIndex,
    listeners: Listeners,
) {
    if let Some(link) = hub.shared.link().filter(|_| index == 0) {
        let dispatch = link_dispatch::run(link.clone(), *hub.shared.clock());
        tokio::spawn(hub.abort.clone().run_until_cancelled_owned(dispatch));
    }
    let worker = Arc::new(Worker::new(Arc::clone(&hub), index));
    let Listeners {
        ingress,
        egress,
        traffic,
        ..
    } = listeners;
    tokio::join!(
        serve::accept(
            Arc::clone(&worker),
            ingress,
            Port::Caller(CallerPort::Ingress)
        ),
        async {
            if let Some(egress) = egress {
                serve::accept(
                    Arc::clone(&worker),
                    egress,
                    Port::Caller(CallerPort::Egress),
                )
                .await;
            }
        },
        serve::accept(Arc::clone(&worker), traffic, Port::Peer),
        close_admission_on_drain(&hub),
        apply_evacuation(&hub),
        close_after_stop(&hub),
    );
}

/// Starts closing connections [`CLOSE_DELAY`] after the node's stop was requested, or at once
/// if there are none.
async fn close_after_stop(hub: &Hub) {
    hub.cancel.cancelled().await;
    if !hub.connections.is_empty() {
        tokio::time::sleep(CLOSE_DELAY).await;
    }
    hub.closing.cancel();
}

/// Refuses requests that wait for a slot as soon as the node's failure domain is evacuated,
/// and admits requests again when the evacuation ends.
async fn apply_evacuation(hub: &Hub) {
    let mut evacuated = hub.shared.watch_evacuated();
    let apply_changes = async {
        loop {
            match *evacuated.borrow_and_update() {
                true => hub.admission.close(Reason::Evacuated),
                false => hub.admission.open(Reason::Evacuated),
            }
            // The sender is dropped when the node ends.
            if evacuated.changed().await.is_err() {
                return;
            }
        }
    };
    hub.cancel.run_until_cancelled(apply_changes).await;
}

/// Refuses requests that wait for a slot as soon as the node's endpoint drains, while there
/// is time for other endpoints to run them.
async fn close_admission_on_drain(hub: &Hub) {
    let mut phase = hub.shared.watch_phase();
    let draining = async {
        // An error means that the sender was dropped: the node has ended.
        let _ = phase.wait_for(|phase| *phase >= Phase::Draining).await;
    };
    if hub.cancel.run_until_cancelled(draining).await.is_none() {
        return;
    }
    hub.admission.close(Reason::Draining);
}
