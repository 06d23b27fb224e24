//! Over drawn steps.

use std::time::Duration;

use proptest::collection::vec;
use proptest::prelude::ProptestConfig;
use proptest::prelude::any;
use proptest::proptest;
use proptest::test_runner::RngSeed;

use super::bench::Bench;
use super::bench::NOW;
use super::bench::SETTINGS;
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

    /// Guards against requests without a verdict, and slots that stay free beside a queue.
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
            // A third of the slots may be kept from the background, which is one.
            let kept = usize::from(background_only(&bench, &told));
            assert!(load.queued == 0 || permits.len() + kept >= 3);
        }
        bench.admission.close(Reason::Draining);
        told.extend(bench.verdicts().into_iter().map(|(id, _)| id));
        told.sort_unstable();
        assert!(told.iter().copied().eq(0..bench.waits.len()));
    }

    /// Guards against background work that is passed over without end.
    #[test]
    fn the_background_is_passed_over_so_often_at_most(
        steps in vec(any::<(u8, u8)>(), 1..400),
    ) {
        let mut bench = Bench::new(8);
        let mut now = NOW;
        let mut running: Vec<(Class, Permit)> = Vec::new();
        let mut passed_over = 0;
        for (what, n) in steps {
            let n = usize::from(n);
            let waited = waits(&bench, Class::Background);
            let held = running.iter().filter(|(class, _)| *class == Class::Background);
            let due = waited && held.count() < 2;
            match what % 8 {
                0..4 => {
                    let class = if n % 4 == 0 { Class::Background } else { Class::Standard };
                    bench.offer(now, class, &LIMITS);
                }
                4 | 5 if !running.is_empty() => {
                    let (_, permit) = running.swap_remove(n % running.len());
                    permit.release(now);
                }
                6 => {
                    let len = bench.waits.len().max(1);
                    let wait = bench.waits.get_mut(n % len).and_then(Option::take);
                    wait.map(|wait| wait.expire(now));
                }
                _ => now = now + Duration::from_millis(n as u64 / 4),
            }
            for (id, verdict) in bench.verdicts() {
                bench.waits[id] = None;
                let Ok(permit) = verdict else { continue };
                let class = bench.classes[id];
                passed_over = match class {
                    Class::Standard if due => passed_over + 1,
                    _ => 0,
                };
                assert!(passed_over <= SETTINGS.standard_weight, "{passed_over}");
                running.push((class, permit));
            }
        }
    }
}

/// Whether one of that class waits.
fn waits(bench: &Bench, class: Class) -> bool {
    let all = bench.waits.iter().zip(&bench.classes);
    let mut own = all.filter(|(_, of)| **of == class);
    own.any(|(wait, _)| wait.is_some())
}

/// Whether nobody waits but what the share of the background holds back.
fn background_only(bench: &Bench, told: &[usize]) -> bool {
    let mut waits = (0..bench.waits.len()).filter(|id| !told.contains(id));
    waits.all(|id| bench.classes[id] == Class::Background)
}
