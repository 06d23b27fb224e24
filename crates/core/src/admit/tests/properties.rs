//! Properties over generated steps.

use std::time::Duration;

use proptest::collection::vec;
use proptest::prelude::ProptestConfig;
use proptest::prelude::any;
use proptest::proptest;
use proptest::test_runner::RngSeed;

use super::fixture::Fixture;
use super::fixture::NOW;
use super::fixture::SETTINGS;
use crate::Class;
use crate::Permit;
use crate::Reason;
use crate::testing::LIMITS;

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(3),
        ..ProptestConfig::default()
    })]

    /// Guards against requests without a decision, and slots that stay free while requests are
    /// queued.
    #[test]
    fn each_request_gets_one_decision(steps in vec(any::<(u8, u8)>(), 1..200)) {
        let mut fixture = Fixture::new(3);
        let mut now = NOW;
        let mut permits = Vec::new();
        let mut decided = Vec::new();
        for (what, n) in steps {
            let n = usize::from(n);
            match what % 8 {
                0..4 => {
                    fixture.offer(now, Class::ALL[n % 3], &LIMITS);
                }
                4 | 5 if !permits.is_empty() => {
                    let permit: Permit = permits.swap_remove(n % permits.len());
                    if n % 2 == 0 { permit.release(now) } else { drop(permit) }
                }
                6 => {
                    let len = fixture.queued.len().max(1);
                    if let Some(Some(queued)) = fixture.queued.get_mut(n % len).map(Option::take) {
                        // A request whose waker was called already has its decision.
                        if queued.expire(now).is_some() { decided.push(n % len) }
                    }
                }
                _ => now = now + Duration::from_millis(n as u64),
            }
            for (id, decision) in fixture.take_decisions() {
                decided.push(id);
                permits.extend(decision.ok());
            }
            let load = fixture.admission.load();
            assert_eq!(usize::from(load.in_flight), permits.len());
            assert!(permits.len() <= 3 && load.queued <= 12);
            // A third of the slots, which is one, may be reserved against background requests.
            let reserved = usize::from(background_only(&fixture, &decided));
            assert!(load.queued == 0 || permits.len() + reserved >= 3);
        }
        fixture.admission.close(Reason::Draining);
        decided.extend(fixture.take_decisions().into_iter().map(|(id, _)| id));
        decided.sort_unstable();
        assert!(decided.iter().copied().eq(0..fixture.queued.len()));
    }

    /// Guards against background requests that are skipped without bound.
    #[test]
    fn background_requests_are_skipped_a_bounded_number_of_times(
        steps in vec(any::<(u8, u8)>(), 1..400),
    ) {
        let mut fixture = Fixture::new(8);
        let mut now = NOW;
        let mut running: Vec<(Class, Permit)> = Vec::new();
        let mut skipped = 0;
        for (what, n) in steps {
            let n = usize::from(n);
            let background_queued = is_queued(&fixture, Class::Background);
            let held = running.iter().filter(|(class, _)| *class == Class::Background);
            let due = background_queued && held.count() < 2;
            match what % 8 {
                0..4 => {
                    let class = if n % 4 == 0 { Class::Background } else { Class::Standard };
                    fixture.offer(now, class, &LIMITS);
                }
                4 | 5 if !running.is_empty() => {
                    let (_, permit) = running.swap_remove(n % running.len());
                    permit.release(now);
                }
                6 => {
                    let len = fixture.queued.len().max(1);
                    let queued = fixture.queued.get_mut(n % len).and_then(Option::take);
                    queued.map(|queued| queued.expire(now));
                }
                _ => now = now + Duration::from_millis(n as u64 / 4),
            }
            for (id, decision) in fixture.take_decisions() {
                fixture.queued[id] = None;
                let Ok(permit) = decision else { continue };
                let class = fixture.classes[id];
                skipped = match class {
                    Class::Standard if due => skipped + 1,
                    _ => 0,
                };
                assert!(skipped <= SETTINGS.standard_weight, "{skipped}");
                running.push((class, permit));
            }
        }
    }
}

/// Whether a request of that class is queued.
fn is_queued(fixture: &Fixture, class: Class) -> bool {
    let all = fixture.queued.iter().zip(&fixture.classes);
    let mut own = all.filter(|(_, of)| **of == class);
    own.any(|(queued, _)| queued.is_some())
}

/// Whether only background requests are queued, which reserved slots hold back.
fn background_only(fixture: &Fixture, decided: &[usize]) -> bool {
    let mut undecided = (0..fixture.queued.len()).filter(|id| !decided.contains(id));
    undecided.all(|id| fixture.classes[id] == Class::Background)
}
