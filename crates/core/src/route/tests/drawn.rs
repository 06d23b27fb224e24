//! Over drawn services, beside a naive version.

use proptest::collection::vec;
use proptest::prelude::ProptestConfig;
use proptest::prelude::any;
use proptest::proptest;
use proptest::test_runner::RngSeed;

use super::bench::Bench;
use super::bench::NOW;
use super::bench::SERVICE;
use crate::EndpointKey;
use crate::Instance;
use crate::InstanceState;
use crate::Intake;
use crate::Reason;
use crate::testing::instance;

/// Where instances stand, the node's own failure domain first.
const DOMAINS: [&str; 2] = ["khan-uul", "sukhbaatar"];

/// One endpoint as it was drawn.
#[derive(Debug, Clone, Copy)]
struct Drawn {
    far: bool,
    leaving: bool,
    open: bool,
    /// Whether the request was there before.
    tried: bool,
}

impl From<(bool, bool, bool, bool)> for Drawn {
    fn from((far, leaving, open, tried): (bool, bool, bool, bool)) -> Drawn {
        Drawn {
            far,
            leaving,
            open,
            tried,
        }
    }
}

impl Drawn {
    fn instance(&self, n: usize) -> Instance {
        let domain = DOMAINS[usize::from(self.far)];
        let state = match self.leaving {
            true => InstanceState::Leaving,
            false => InstanceState::Live,
        };
        Instance {
            state,
            ..instance(&name(n), SERVICE, domain)
        }
    }

    /// The naive version: any endpoint that may take the request will do.
    fn may_be_picked(&self) -> bool {
        !self.leaving && self.open && !self.tried
    }
}

fn name(n: usize) -> String {
    format!("ad-{n}")
}

fn bench(drawn: &[Drawn]) -> (Bench, Vec<EndpointKey>) {
    let instances = drawn.iter().enumerate().map(|(n, it)| it.instance(n));
    let bench = Bench::new("wd-1", instances.collect());
    let mut avoid = Vec::new();
    for (n, it) in drawn.iter().enumerate() {
        let intake = if it.open {
            Intake::Open
        } else {
            Intake::Closed
        };
        bench.mark(&name(n), intake, NOW);
        let service = bench.snapshot.service(bench.service).unwrap();
        let mut endpoints = bench.snapshot.endpoints_of(service);
        let found = endpoints.find(|(_, endpoint)| endpoint.instance.id.as_str() == name(n));
        avoid.extend(found.filter(|_| it.tried).map(|(key, _)| key));
    }
    (bench, avoid)
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    /// Guards against requests that are refused, or sent where they may not go.
    #[test]
    fn whoever_may_be_picked_is_picked_and_nobody_else(
        drawn in vec(any::<(bool, bool, bool, bool)>(), 0..24),
    ) {
        let drawn: Vec<Drawn> = drawn.into_iter().map(Drawn::from).collect();
        let (mut bench, avoid) = bench(&drawn);
        let some = drawn.iter().any(Drawn::may_be_picked);
        assert_eq!(bench.picker.has_other(bench.service, &bench.homes, NOW, &avoid), some);
        for _ in 0..16 {
            match bench.pick_but(NOW, &avoid) {
                Ok(picked) => {
                    let id = bench.id(picked.endpoint()).as_str();
                    let n: usize = id.strip_prefix("ad-").unwrap().parse().unwrap();
                    assert!(drawn[n].may_be_picked(), "{:?}", drawn[n]);
                }
                Err(reason) => {
                    assert_eq!(reason, Reason::NoEndpoint);
                    assert!(!some);
                }
            }
        }
    }

    /// Guards against load that piles up at one of equal targets.
    #[test]
    fn two_choices_spread_load_better_than_one(seed in any::<u64>()) {
        let open = Drawn { far: false, leaving: false, open: true, tried: false };
        let (mut bench, _) = bench(&[open; 8]);
        bench.rng = rand::SeedableRng::seed_from_u64(seed);
        let mut held = [0_usize; 8];
        let mut picks = Vec::new();
        for _ in 0..32 {
            let picked = bench.pick(NOW);
            let id = bench.id(picked.endpoint()).as_str();
            let n: usize = id.strip_prefix("ad-").unwrap().parse().unwrap();
            held[n] += 1;
            picks.push(picked);
        }
        let mean = 32 / 8;
        assert!(held.iter().all(|held| *held <= 2 * mean), "{held:?}");
    }
}
