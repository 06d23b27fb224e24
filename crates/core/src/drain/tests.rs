use std::sync::Arc;
use std::time::Duration;

use shuttle::sync::atomic::AtomicU64;
use shuttle::sync::atomic::Ordering;
use shuttle::thread;

use crate::AtomicWord;
use crate::Drain;
use crate::Draining;
use crate::Gate;
use crate::Progress;
use crate::Reason;
use crate::Serving;
use crate::Tick;

const BOUND: Duration = Duration::from_secs(30);
const NOW: Tick = Tick::from_millis(1_000);

impl AtomicWord for AtomicU64 {
    fn zero() -> AtomicU64 {
        AtomicU64::new(0)
    }

    fn load(&self) -> u64 {
        AtomicU64::load(self, Ordering::SeqCst)
    }

    fn compare_and_set(&self, current: u64, new: u64) -> bool {
        self.compare_exchange(current, new, Ordering::SeqCst, Ordering::SeqCst)
            .is_ok()
    }
}

fn waiting(progress: Progress) -> Drain<Draining> {
    match progress {
        Progress::Waiting(drain) => drain,
        Progress::Finished(over) => panic!("over with {} cut", over.cut()),
    }
}

/// Guards against a request that enters after a drain found none in flight.
#[test]
fn no_request_enters_an_empty_closed_gate() {
    shuttle::check_random(race_entry_with_drain::<AtomicU64>, 2_000);
}

// The same race with a word whose compare and write are two steps must be found.
#[test]
#[should_panic]
fn the_race_is_found_with_a_two_step_word() {
    shuttle::check_random(race_entry_with_drain::<TwoStepWord>, 2_000);
}

struct TwoStepWord(AtomicU64);

impl AtomicWord for TwoStepWord {
    fn zero() -> TwoStepWord {
        TwoStepWord(AtomicU64::new(0))
    }

    fn load(&self) -> u64 {
        self.0.load(Ordering::SeqCst)
    }

    fn compare_and_set(&self, current: u64, new: u64) -> bool {
        let is_current = AtomicWord::load(self) == current;
        if is_current {
            self.0.store(new, Ordering::SeqCst);
        }
        is_current
    }
}

fn race_entry_with_drain<W: AtomicWord + 'static>() {
    let drain = Drain::<Serving, W>::serving();
    let gate = drain.gate().clone();
    let inside = Arc::new(AtomicU64::new(0));
    let threads = [(); 3].map(|()| thread::spawn(enter(gate.clone(), inside.clone())));
    let mut drain = drain.begin(NOW, BOUND);
    loop {
        match drain.poll(NOW) {
            Progress::Waiting(next) => drain = next,
            Progress::Finished(over) => {
                assert_eq!(over.cut(), 0);
                break;
            }
        }
        thread::yield_now();
    }
    assert_eq!(
        inside.load(Ordering::SeqCst),
        0,
        "a request runs after the stop"
    );
    for thread in threads {
        thread.join().unwrap();
    }
    assert_eq!(gate.in_flight(), 0);
}

fn enter<W: AtomicWord>(gate: Gate<W>, inside: Arc<AtomicU64>) -> impl FnOnce() {
    move || {
        let Ok(pass) = gate.enter() else { return };
        inside.fetch_add(1, Ordering::SeqCst);
        inside.fetch_sub(1, Ordering::SeqCst);
        drop(pass);
    }
}

/// Guards against a second planned stop that cuts a request of the first.
#[test]
fn a_second_planned_stop_does_not_shorten_the_bound() {
    let serving = Drain::<Serving>::serving();
    let pass = serving.gate().enter().unwrap();
    let drain = serving.begin(NOW, BOUND);
    let refusal = drain.gate().enter().unwrap_err();
    assert_eq!(refusal.reason(), Reason::Draining);
    let later = NOW + Duration::from_secs(5);
    let drain = waiting(drain.poll(later));
    let drain = drain.extend(later, Duration::ZERO);
    let drain = waiting(drain.poll(NOW + Duration::from_secs(29)));
    drop(pass);
    let Progress::Finished(over) = drain.poll(NOW + Duration::from_secs(29)) else {
        panic!("no request is in flight");
    };
    assert_eq!(over.cut(), 0);
}

#[test]
fn the_bound_ends_a_drain_and_counts_cut_requests() {
    let serving = Drain::<Serving>::serving();
    let passes = [(); 2].map(|()| serving.gate().enter().unwrap());
    let Progress::Finished(over) = serving.begin(NOW, BOUND).poll(NOW + BOUND) else {
        panic!("the bound has passed");
    };
    assert_eq!(over.cut(), 2);
    drop(passes);
}

#[test]
fn a_reopened_gate_admits_requests() {
    let drain = Drain::<Serving>::serving().begin(NOW, BOUND).reopen();
    assert!(drain.gate().enter().is_ok());
}
