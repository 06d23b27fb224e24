use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use proptest::collection::vec;
use proptest::prelude::ProptestConfig;
use proptest::prelude::any;
use proptest::proptest;
use proptest::test_runner::RngSeed;
use rstest::rstest;

use crate::Admission;
use crate::AdmissionSettings;
use crate::Ask;
use crate::Class;
use crate::Deadline;
use crate::Limits;
use crate::Offer;
use crate::Permit;
use crate::Queued;
use crate::Reason;
use crate::Refusal;
use crate::Tick;
use crate::testing::LIMITS;

const NOW: Tick = Tick::from_millis(1_000);
const SETTINGS: AdmissionSettings = AdmissionSettings {
    queue_per_slot: 4,
    max_wait: Duration::from_millis(500),
    background_percent: 50,
    standard_weight: 2,
    burst: Duration::from_millis(100),
};

type Verdicts = Arc<Mutex<Vec<(usize, Result<Permit, Refusal>)>>>;

/// Admission with requests that are numbered in the order of their offers.
struct Bench {
    admission: Admission,
    verdicts: Verdicts,
    waits: Vec<Option<Queued>>,
    classes: Vec<Class>,
}

impl Bench {
    fn new(slots: u32) -> Bench {
        Bench {
            admission: Admission::new(SETTINGS, slots).unwrap(),
            verdicts: Verdicts::default(),
            waits: Vec::new(),
            classes: Vec::new(),
        }
    }

    /// Offers a request; the verdict is there at once or when it is woken.
    fn offer(&mut self, now: Tick, class: Class, limits: &Limits) -> usize {
        let id = self.waits.len();
        let ask = Ask {
            class,
            deadline: Deadline::within(now, limits.deadline),
            limits,
        };
        let verdicts = self.verdicts.clone();
        let waker = move || -> crate::Waker {
            Box::new(move |verdict| verdicts.lock().unwrap().push((id, verdict)))
        };
        let offer = self.admission.offer(now, &ask, waker);
        let mut wait = None;
        match offer {
            Offer::Admitted(permit) => self.verdicts.lock().unwrap().push((id, Ok(permit))),
            Offer::Refused(refusal) => self.verdicts.lock().unwrap().push((id, Err(refusal))),
            Offer::Queued(queued) => wait = Some(queued),
        }
        self.waits.push(wait);
        self.classes.push(class);
        id
    }

    /// The verdicts since the last call.
    fn verdicts(&self) -> Vec<(usize, Result<Permit, Refusal>)> {
        std::mem::take(&mut self.verdicts.lock().unwrap())
    }

    fn take_permit(&self) -> Permit {
        self.verdicts().pop().unwrap().1.unwrap()
    }

    fn refused(&self) -> Vec<(usize, Reason)> {
        let all = self.verdicts().into_iter();
        all.map(|(id, verdict)| (id, verdict.unwrap_err().reason()))
            .collect()
    }
}

#[test]
fn urgent_work_goes_first_and_the_background_by_its_weight() {
    use Class::Background as B;
    use Class::Critical as C;
    use Class::Standard as S;
    let mut bench = Bench::new(3);
    let held = [C, C, C].map(|class| {
        bench.offer(NOW, class, &LIMITS);
        bench.take_permit()
    });
    let classes = [B, B, S, S, S, S, C, C];
    let first = bench.waits.len();
    for class in classes {
        bench.offer(NOW, class, &LIMITS);
    }
    let [mut permit, other, third] = held;
    let mut order = Vec::new();
    for _ in classes {
        permit.release(NOW);
        let (id, next) = bench.verdicts().pop().unwrap();
        order.push(classes[id - first]);
        permit = next.unwrap();
    }
    assert_eq!(order, [C, C, S, S, B, S, S, B]);
    drop((permit, other, third));
}

// Archive retrievals fill the queue. A sign-off that arrives then takes the
// place of the youngest of them, which is refused at once and not run.
#[test]
fn urgent_work_displaces_the_youngest_of_the_least_urgent() {
    let mut bench = Bench::new(1);
    bench.offer(NOW, Class::Standard, &LIMITS);
    let permit = bench.take_permit();
    for _ in 0..4 {
        bench.offer(NOW, Class::Background, &LIMITS);
    }
    bench.offer(NOW, Class::Background, &LIMITS);
    assert_eq!(bench.refused(), [(5, Reason::QueueFull)]);
    bench.offer(NOW, Class::Critical, &LIMITS);
    assert_eq!(bench.refused(), [(4, Reason::Displaced)]);
    permit.release(NOW);
    assert_eq!(bench.verdicts()[0].0, 6, "the sign-off runs next");
}

#[test]
fn a_rate_is_refused_with_the_time_to_come_back() {
    let limits = Limits {
        rate_per_s: 10,
        ..LIMITS
    };
    let mut bench = Bench::new(5);
    bench.offer(NOW, Class::Standard, &limits);
    bench.take_permit().release(NOW);
    bench.offer(NOW + Duration::from_millis(40), Class::Standard, &limits);
    let (_, verdict) = bench.verdicts().pop().unwrap();
    let refusal = verdict.unwrap_err();
    assert_eq!(refusal.reason(), Reason::RateLimited);
    assert_eq!(refusal.retry_after(), Some(Duration::from_millis(60)));
    bench.offer(NOW + Duration::from_millis(100), Class::Standard, &limits);
    bench.take_permit().release(NOW);
}

#[test]
fn the_entry_s_concurrency_bounds_the_slots() {
    let limits = Limits {
        concurrency: 2,
        ..LIMITS
    };
    let mut bench = Bench::new(5);
    for _ in 0..3 {
        bench.offer(NOW, Class::Standard, &limits);
    }
    assert_eq!(bench.verdicts().len(), 2);
    assert!(bench.waits[2].is_some());
}

// A target needs 300 ms for a request and one waits already. A caller that has
// 400 ms left would wait in vain: it is told at once, while it can still act.
#[test]
fn what_can_t_be_served_in_time_is_refused_at_once() {
    let mut bench = Bench::new(1);
    let mut now = NOW;
    for _ in 0..60 {
        bench.offer(now, Class::Standard, &LIMITS);
        now = now + Duration::from_millis(300);
        bench.take_permit().release(now);
    }
    bench.offer(now, Class::Standard, &LIMITS);
    bench.offer(now, Class::Standard, &LIMITS);
    let permit = bench.take_permit();
    let short = Limits {
        deadline: Duration::from_millis(400),
        ..LIMITS
    };
    bench.offer(now, Class::Standard, &short);
    assert_eq!(bench.refused(), [(62, Reason::DeadlineTooShort)]);
    drop(permit);
}

#[derive(Debug)]
enum End {
    Timer,
    Drop,
    Sweep,
}

// A request waits and its time is over, or its caller goes away. It gets its
// refusal at once, and the slot that frees up goes to the next that waits.
#[rstest]
#[case(End::Timer)]
#[case(End::Drop)]
#[case(End::Sweep)]
fn who_leaves_the_queue_is_passed_over(#[case] end: End) {
    let mut bench = Bench::new(1);
    bench.offer(NOW, Class::Standard, &LIMITS);
    let permit = bench.take_permit();
    bench.offer(NOW, Class::Standard, &LIMITS);
    bench.offer(NOW + Duration::from_millis(400), Class::Standard, &LIMITS);
    let over = NOW + SETTINGS.max_wait;
    let wait = bench.waits[1].take().unwrap();
    match end {
        End::Timer => {
            let refusal = wait.expire(over).unwrap();
            assert_eq!(refusal.reason(), Reason::QueueTimeout);
            assert!(refusal.retry_after().is_some());
        }
        End::Drop => drop(wait),
        End::Sweep => bench.waits[1] = Some(wait),
    }
    permit.release(over);
    let mut verdicts = bench.verdicts();
    let (next, permit) = verdicts.pop().unwrap();
    assert_eq!(next, 2, "{end:?}");
    assert!(permit.is_ok());
    assert_eq!(verdicts.len(), usize::from(matches!(end, End::Sweep)));
}

// A caller goes away just after its request got a slot: the permit that nobody
// wants any more is dropped, and the slot must not be lost with it.
#[test]
fn a_permit_that_nobody_takes_goes_to_the_next() {
    let admission = Admission::new(SETTINGS, 1).unwrap();
    let ask = Ask {
        class: Class::Standard,
        deadline: Deadline::within(NOW, LIMITS.deadline),
        limits: &LIMITS,
    };
    let Offer::Admitted(permit) = admission.offer(NOW, &ask, || Box::new(drop)) else {
        panic!("the slot is free");
    };
    let gone = admission.offer(NOW, &ask, || Box::new(drop));
    let verdicts = Verdicts::default();
    let sent = verdicts.clone();
    let next = admission.offer(NOW, &ask, || {
        Box::new(move |verdict| sent.lock().unwrap().push((2, verdict)))
    });
    permit.release(NOW);
    assert!(verdicts.lock().unwrap()[0].1.is_ok());
    drop((gone, next));
}

#[test]
fn a_closed_target_refuses_what_waits_and_what_comes() {
    let mut bench = Bench::new(1);
    bench.offer(NOW, Class::Critical, &LIMITS);
    let permit = bench.take_permit();
    bench.offer(NOW, Class::Critical, &LIMITS);
    bench.admission.close(Reason::Draining);
    bench.offer(NOW, Class::Critical, &LIMITS);
    assert_eq!(
        bench.refused(),
        [(1, Reason::Draining), (2, Reason::Draining)]
    );
    permit.release(NOW);
    bench.admission.open();
    bench.offer(NOW, Class::Critical, &LIMITS);
    bench.take_permit().release(NOW);
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(3),
        ..ProptestConfig::default()
    })]

    // Whatever happens, each request gets one verdict, no more run than there
    // are slots, and no slot stays free while somebody may have it.
    #[test]
    fn each_request_gets_one_verdict(steps in vec(any::<(u8, u8)>(), 1..200)) {
        let mut bench = Bench::new(3);
        let mut now = NOW;
        let mut permits = Vec::new();
        let mut told = Vec::new();
        for (what, n) in steps {
            let n = usize::from(n);
            match what % 8 {
                0..4 => {
                    bench.offer(now, Class::ALL[n % 3], &LIMITS);
                }
                4 | 5 if !permits.is_empty() => {
                    let permit: Permit = permits.swap_remove(n % permits.len());
                    if n % 2 == 0 { permit.release(now) } else { drop(permit) }
                }
                6 => {
                    let len = bench.waits.len().max(1);
                    if let Some(Some(wait)) = bench.waits.get_mut(n % len).map(Option::take) {
                        // Who was woken already has its verdict.
                        if wait.expire(now).is_some() { told.push(n % len) }
                    }
                }
                _ => now = now + Duration::from_millis(n as u64),
            }
            for (id, verdict) in bench.verdicts() {
                told.push(id);
                permits.extend(verdict.ok());
            }
            let load = bench.admission.load();
            assert_eq!(usize::from(load.in_flight), permits.len());
            assert!(permits.len() <= 3 && load.queued <= 12);
            assert!(load.queued == 0 || permits.len() == 3 || background_only(&bench, &told));
        }
        bench.admission.close(Reason::Draining);
        told.extend(bench.verdicts().into_iter().map(|(id, _)| id));
        told.sort_unstable();
        assert!(told.iter().copied().eq(0..bench.waits.len()));
    }
}

/// Whether nobody waits but what the share of the background holds back.
fn background_only(bench: &Bench, told: &[usize]) -> bool {
    let mut waits = (0..bench.waits.len()).filter(|id| !told.contains(id));
    waits.all(|id| bench.classes[id] == Class::Background)
}
