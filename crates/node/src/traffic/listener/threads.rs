//! The traffic threads.

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

use crate::traffic::bounds::LINGER;
use crate::traffic::hub::Hub;
use crate::traffic::listener::listeners::Listeners;
use crate::traffic::listener::serve;
use crate::traffic::listener::serve::Port;
use crate::traffic::outbound::caller_side::Side;
use crate::traffic::target::WorkerIndex;
use crate::traffic::worker::Worker;

/// Starts `count` threads, each with a runtime of its own: a request stays on
/// the thread that accepted it, so that no wake-up crosses threads.
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

/// Does a thread's work as a task on `handle`. What is returned is closed once
/// the listeners are, so that a node that ends leaves its ports free.
pub(in crate::traffic) fn start_on(
    handle: &Handle,
    hub: &Arc<Hub>,
    listeners: Listeners,
) -> oneshot::Receiver<()> {
    let (ended_tx, ended_rx) = oneshot::channel();
    let work = work(Arc::clone(hub), 0, listeners);
    handle.spawn(async move {
        work.await;
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
        .map_err(failed)?;
    let (ended_tx, ended_rx) = oneshot::channel();
    thread::Builder::new()
        .name(format!("traffic-{index}"))
        .spawn(move || {
            runtime.block_on(async move {
                work(Arc::clone(&hub), index, listeners).await;
                hub.connections.wait().await;
            });
            drop(ended_tx);
        })
        .map_err(failed)?;
    Ok(ended_rx)
}

fn failed(err: std::io::Error) -> Error {
    Error::new(Step::Connect, "cannot start a traffic thread").with_cause(err)
}

/// Serves the three listeners until the node closes.
pub(in crate::traffic) async fn work(hub: Arc<Hub>, index: WorkerIndex, listeners: Listeners) {
    let worker = Arc::new(Worker::new(Arc::clone(&hub), index));
    let Listeners {
        ingress,
        egress,
        traffic,
        ..
    } = listeners;
    tokio::join!(
        serve::accept(Arc::clone(&worker), ingress, Port::Caller(Side::Ingress)),
        async {
            if let Some(egress) = egress {
                serve::accept(Arc::clone(&worker), egress, Port::Caller(Side::Egress)).await;
            }
        },
        serve::accept(Arc::clone(&worker), traffic, Port::Peer),
        close_admission(&hub),
        follow_evacuation(&hub),
        close(&hub),
    );
}

/// Closes connections some time after the node was told to stop.
async fn close(hub: &Hub) {
    hub.cancel.cancelled().await;
    if !hub.connections.is_empty() {
        tokio::time::sleep(LINGER).await;
    }
    hub.closing.cancel();
}

/// Refuses what waits for a slot as soon as the own failure domain is evacuated, and
/// takes work again when it no longer is.
async fn follow_evacuation(hub: &Hub) {
    let mut evacuated = hub.shared.watch_evacuated();
    let follow = async {
        loop {
            match *evacuated.borrow_and_update() {
                true => hub.admission.close(Reason::Evacuated),
                false => hub.admission.open(Reason::Evacuated),
            }
            // It changes only while the node runs.
            if evacuated.changed().await.is_err() {
                return;
            }
        }
    };
    hub.cancel.run_until_cancelled(follow).await;
}

/// Refuses what waits for a slot as soon as the own endpoint leaves: others
/// may take it while there is time.
async fn close_admission(hub: &Hub) {
    let mut phase = hub.shared.watch_phase();
    let leaving = async {
        // The phase goes on only while the node runs.
        let _ = phase.wait_for(|phase| *phase >= Phase::Draining).await;
    };
    if hub.cancel.run_until_cancelled(leaving).await.is_none() {
        return;
    }
    hub.admission.close(Reason::Draining);
}
