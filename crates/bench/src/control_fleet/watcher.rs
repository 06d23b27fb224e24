//! Observation of when each member puts a snapshot in force.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use sassafrasspool_core::Snapshot;
use sassafrasspool_core::Tick;

use super::Member;
use super::Observation;

/// Polling interval of all members. It bounds the error of a convergence time
/// and is far below the measured times.
const POLL_INTERVAL: Duration = Duration::from_millis(1);

/// A thread that polls all members, with a clock that starts with it.
#[derive(Debug)]
pub struct Watcher {
    shared: Arc<Shared>,
    thread: Option<JoinHandle<()>>,
}

#[derive(Debug)]
struct Shared {
    origin: Instant,
    members: Arc<Vec<Member>>,
    with_facts: bool,
    observations: Mutex<Vec<Observation>>,
    stop: AtomicBool,
}

impl Watcher {
    /// Starts the thread. If `with_facts` is set, the facts of every snapshot are
    /// recorded.
    pub fn start(members: Arc<Vec<Member>>, with_facts: bool) -> Watcher {
        let shared = Arc::new(Shared {
            origin: Instant::now(),
            members,
            with_facts,
            observations: Mutex::default(),
            stop: AtomicBool::new(false),
        });
        let polling = Arc::clone(&shared);
        Watcher {
            shared,
            thread: Some(thread::spawn(move || polling.run())),
        }
    }

    /// The current tick of the watcher's clock.
    pub fn now(&self) -> Tick {
        self.shared.now()
    }

    /// All observations so far, in their order.
    pub fn observations(&self) -> Vec<Observation> {
        self.shared.lock().clone()
    }

    /// Removes and returns all observations so far.
    pub fn take_observations(&self) -> Vec<Observation> {
        std::mem::take(&mut *self.shared.lock())
    }
}

impl Drop for Watcher {
    fn drop(&mut self) {
        self.shared.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            // A panic of the thread has been printed already.
            let _ = thread.join();
        }
    }
}

impl Shared {
    fn now(&self) -> Tick {
        Tick::ZERO + self.origin.elapsed()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Observation>> {
        self.observations
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn run(&self) {
        let mut last: Vec<Option<Arc<Snapshot>>> = vec![None; self.members.len()];
        while !self.stop.load(Ordering::Relaxed) {
            for (i, last) in last.iter_mut().enumerate() {
                self.poll(i, last);
            }
            thread::sleep(POLL_INTERVAL);
        }
    }

    fn poll(&self, i: usize, last: &mut Option<Arc<Snapshot>>) {
        let Some(snapshot) = self.members[i].snapshot_in_force() else {
            *last = None;
            return;
        };
        // `last` keeps the snapshot alive, so that a new one can't get its
        // address and be mistaken for it.
        if last
            .as_ref()
            .is_some_and(|last| Arc::ptr_eq(last, &snapshot))
        {
            return;
        }
        let observation = Observation::new(self.now(), i, &snapshot, self.with_facts);
        self.lock().push(observation);
        *last = Some(snapshot);
    }
}
