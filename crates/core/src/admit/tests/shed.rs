//! Callers of a target that declines some requests although it has room.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;

use crate::Admission;
use crate::AdmissionSettings;
use crate::Ask;
use crate::Class;
use crate::Deadline;
use crate::Offer;
use crate::Permit;
use crate::Tick;
use crate::testing::LIMITS;

const SLOTS: u32 = 6;
const CALLERS: usize = 600;
/// The time between two callers.
const PAUSE: Duration = Duration::from_millis(30);
const TOOK: Duration = Duration::from_millis(100);
/// The part of requests that the target declines.
const DECLINED: f64 = 0.55;
/// Within what an answer is worth most, and how often a caller asks at most.
const AIM: Duration = Duration::from_millis(400);
const ASKS: u32 = 3;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Ends(usize),
    Asks { caller: usize, ask: u32 },
}

/// The part of callers that are answered in time if they come back after what `told` says.
fn answered_in_time(seed: u64, told: impl Fn(&Admission) -> Duration) -> f64 {
    let admission = Admission::new(AdmissionSettings::default(), SLOTS).unwrap();
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut running: Vec<Option<Permit>> = Vec::new();
    let mut events = BinaryHeap::new();
    let begun: Vec<Tick> = (0..CALLERS as u32)
        .map(|n| Tick::ZERO + PAUSE * n)
        .collect();
    for (caller, at) in begun.iter().enumerate() {
        events.push(Reverse((*at, Event::Asks { caller, ask: 1 })));
    }
    let mut in_time = 0;
    while let Some(Reverse((now, event))) = events.pop() {
        let (caller, ask) = match event {
            Event::Asks { caller, ask } => (caller, ask),
            Event::Ends(run) => {
                running[run].take().expect("it ran").release(now);
                continue;
            }
        };
        let asked = Ask {
            class: Class::Standard,
            deadline: Deadline::within(now, Duration::from_secs(2)),
            limits: &LIMITS,
            kind: None,
            aim: None,
            settles: true,
            slots: None,
            cold: None,
        };
        let offer = admission.offer(now, &asked, || Box::new(drop));
        let declined = match offer {
            Offer::Admitted(permit) if rng.random_bool(DECLINED) => {
                permit.release(now);
                true
            }
            Offer::Admitted(permit) => {
                events.push(Reverse((now + TOOK, Event::Ends(running.len()))));
                running.push(Some(permit));
                false
            }
            Offer::Queued(_) | Offer::Refused(_) => true,
        };
        if !declined {
            in_time += usize::from(now.since(begun[caller]) + TOOK <= AIM);
        } else if ask < ASKS {
            let ask = ask + 1;
            events.push(Reverse((
                now + told(&admission),
                Event::Asks { caller, ask },
            )));
        }
    }
    in_time as f64 / CALLERS as f64
}

/// Guards against callers that are told to come back when their answers are late, by a
/// target that declines one request and takes the next.
#[rstest]
fn callers_of_a_target_that_declines_come_back_in_time(#[values(1, 2, 3, 4, 5)] seed: u64) {
    let by_wait = answered_in_time(seed, |admission| admission.expected_wait(Class::Standard));
    let by_second = answered_in_time(seed, |_| Duration::from_secs(1));
    assert!(by_wait > 0.75, "{by_wait}, and {by_second} after a second");
    assert!(by_wait > by_second + 0.25, "{by_wait} and {by_second}");
}
