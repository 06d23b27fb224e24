//! Case by case.

use std::collections::VecDeque;
use std::time::Duration;

use rstest::rstest;

use super::bench::Bench;
use super::bench::NOW;
use super::bench::SETTINGS;
use super::bench::Verdicts;
use crate::Admission;
use crate::Ask;
use crate::Class;
use crate::Deadline;
use crate::Limits;
use crate::Offer;
use crate::Reason;
use crate::testing::LIMITS;

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

/// Guards against urgent work that is refused by a queue full of background work.
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

/// Guards against callers that wait for what can't be served before their deadline.
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

/// Guards against a slot that goes to a request whose caller has left.
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

/// Guards against a slot that is lost with the caller that it was meant for.
#[test]
fn a_permit_that_nobody_takes_goes_to_the_next() {
    let admission = Admission::new(SETTINGS, 1).unwrap();
    let ask = Ask {
        kind: None,
        aim: None,
        settles: false,
        slots: None,
        cold: None,
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
    bench.admission.open(Reason::Draining);
    bench.offer(NOW, Class::Critical, &LIMITS);
    bench.take_permit().release(NOW);
}

/// Offers a request whose answer is worth most until `aim` after [`NOW`].
fn offer_until(bench: &mut Bench, aim_ms: u64) -> usize {
    bench.offer_with(
        NOW,
        Class::Standard,
        &LIMITS,
        Some(NOW + Duration::from_millis(aim_ms)),
    )
}

/// Guards against a queue in which everybody is late under overload.
#[test]
fn who_can_be_in_time_goes_before_who_is_late() {
    let mut bench = Bench::new(1);
    bench.offer(NOW, Class::Standard, &LIMITS);
    let mut permit = bench.take_permit();
    let late = offer_until(&mut bench, 60);
    let relaxed = offer_until(&mut bench, 400);
    let urgent = offer_until(&mut bench, 150);
    let now = NOW + Duration::from_millis(100);
    let mut order = Vec::new();
    for _ in 0..3 {
        permit.release(now);
        let (id, next) = bench.verdicts().pop().unwrap();
        order.push(id);
        permit = next.unwrap();
    }
    assert_eq!(order, [urgent, relaxed, late]);
}

/// Guards against requests that wait until no other target can be asked in time.
#[test]
fn who_would_be_late_is_refused_while_there_is_time() {
    let mut bench = Bench::new(1);
    bench.run_for(NOW, Class::Standard, Duration::from_millis(200));
    bench.offer(NOW, Class::Standard, &LIMITS);
    let permit = bench.take_permit();
    let aims = [900, 910].map(|aim| offer_until(&mut bench, aim));
    assert!(aims.iter().all(|id| bench.waits[*id].is_some()));
    offer_until(&mut bench, 920);
    let refused = bench.refused();
    assert_eq!(refused, [(4, Reason::QueueFull)]);
    drop(permit);
}

/// Guards against calls that fail everywhere since each target would be a little late.
#[test]
fn the_last_that_is_asked_lets_a_late_request_wait() {
    let mut bench = Bench::new(1);
    bench.run_for(NOW, Class::Standard, Duration::from_millis(200));
    bench.offer(NOW, Class::Standard, &LIMITS);
    let permit = bench.take_permit();
    let aim = Some(NOW + Duration::from_millis(420));
    let ask = Ask {
        kind: None,
        aim,
        settles: true,
        slots: None,
        cold: None,
        class: Class::Standard,
        deadline: Deadline::within(NOW, LIMITS.deadline),
        limits: &LIMITS,
    };
    let offer = |ask: &Ask<'_>| bench.admission.offer(NOW, ask, || Box::new(drop));
    let elsewhere = Ask {
        settles: false,
        ..ask
    };
    assert!(matches!(offer(&elsewhere), Offer::Refused(_)));
    assert!(matches!(offer(&ask), Offer::Queued(_)));
    drop(permit);
}

/// Guards against urgent calls that find all slots held by long background work.
#[rstest]
#[case::long(Duration::from_millis(1_000), 4)]
#[case::as_long(Duration::from_millis(30), 6)]
fn urgent_work_that_is_turned_away_is_left_a_third_of_the_slots_at_most(
    #[case] background: Duration,
    #[case] runs: usize,
) {
    let mut bench = Bench::new(6);
    let now = bench.run_for(NOW, Class::Background, background);
    let mut now = bench.run_for(now, Class::Critical, Duration::from_millis(30));
    let mut held = Vec::new();
    for _ in 0..6 {
        bench.offer(now, Class::Background, &LIMITS);
    }
    held.extend(bench.verdicts().into_iter().filter_map(|(_, it)| it.ok()));
    let before = held.len();
    for _ in 0..8 {
        let waits = bench.offer(now, Class::Critical, &LIMITS);
        now = now + SETTINGS.max_wait;
        let waited = bench.waits[waits].take().expect("it waits");
        assert!(waited.expire(now).is_some());
    }
    held.clear();
    for _ in 0..6 {
        bench.offer(now, Class::Background, &LIMITS);
    }
    held.extend(bench.verdicts().into_iter().filter_map(|(_, it)| it.ok()));
    assert_eq!((before, held.len()), (6, runs));
    drop(held);
}

/// Guards against background work that starves while urgent work is turned away.
#[test]
fn the_background_has_its_turn_while_urgent_work_is_turned_away() {
    let mut bench = Bench::new(8);
    let mut now = bench.run_for(NOW, Class::Background, Duration::from_millis(1_000));
    for _ in 0..8 {
        bench.offer(now, Class::Standard, &LIMITS);
    }
    let mut held: VecDeque<_> = bench.verdicts().into_iter().collect();
    for _ in 0..4 {
        let waits = bench.offer(now, Class::Standard, &LIMITS);
        now = now + Duration::from_millis(60);
        let waited = bench.waits[waits].take().expect("it waits");
        assert!(waited.expire(now).is_some());
    }
    for _ in 0..4 {
        bench.offer(now, Class::Background, &LIMITS);
    }
    let mut background = 0;
    for _ in 0..32 {
        bench.offer(now, Class::Standard, &LIMITS);
        let oldest = held.iter().position(|(id, _)| is_urgent(&bench, *id));
        let oldest = oldest
            .and_then(|at| held.remove(at))
            .expect("urgent work runs");
        oldest.1.unwrap().release(now);
        let told = bench.verdicts().into_iter();
        held.extend(told.filter(|(_, verdict)| verdict.is_ok()));
        background = held
            .iter()
            .filter(|(id, _)| !is_urgent(&bench, *id))
            .count();
    }
    assert_eq!(background, 2);
}

/// Guards against a slot that stays empty beside a queue of background work.
#[test]
fn the_background_alone_has_every_slot() {
    let mut bench = Bench::new(6);
    for _ in 0..12 {
        bench.offer(NOW, Class::Background, &LIMITS);
    }
    let running = |bench: &Bench| usize::from(bench.admission.load().in_flight);
    assert_eq!(running(&bench), 6);
    let mut now = NOW;
    for (_, verdict) in bench.verdicts() {
        now = now + Duration::from_millis(20);
        verdict.expect("a slot").release(now);
        assert_eq!(running(&bench), 6, "the next has it at once");
    }
}

fn is_urgent(bench: &Bench, id: usize) -> bool {
    bench.classes[id] != Class::Background
}
