//! Over drawn steps.

use std::time::Duration;

use proptest::collection::vec;
use proptest::prelude::ProptestConfig;
use proptest::prelude::any;
use proptest::proptest;
use proptest::test_runner::RngSeed;

use super::bench::Bench;
use super::bench::NOW;
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
