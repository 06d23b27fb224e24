//! Properties over generated services, compared with a naive model.

use proptest::collection::vec;
use proptest::prelude::ProptestConfig;
use proptest::prelude::any;
use proptest::proptest;
use proptest::test_runner::RngSeed;

use super::fixture::Fixture;
use super::fixture::NOW;
use super::fixture::SERVICE;
use crate::EndpointKey;
use crate::Instance;
use crate::InstanceState;
use crate::Intake;
use crate::Reason;
use crate::testing::instance;

/// The failure domains of instances, the node's own first.
const DOMAINS: [&str; 2] = ["khan-uul", "sukhbaatar"];

/// A generated endpoint.
#[derive(Debug, Clone, Copy)]
struct EndpointCase {
    far: bool,
    leaving: bool,
    open: bool,
    /// Whether the request was tried there before.
    tried: bool,
}

impl From<(bool, bool, bool, bool)> for EndpointCase {
    fn from((far, leaving, open, tried): (bool, bool, bool, bool)) -> EndpointCase {
        EndpointCase {
            far,
            leaving,
            open,
            tried,
        }
    }
}

impl EndpointCase {
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

    /// The naive model: any endpoint that may get the request is valid.
    fn may_be_picked(&self) -> bool {
        !self.leaving && self.open && !self.tried
    }
}

fn name(n: usize) -> String {
    format!("ad-{n}")
}

fn fixture_of(cases: &[EndpointCase]) -> (Fixture, Vec<EndpointKey>) {
    let instances = cases.iter().enumerate().map(|(n, it)| it.instance(n));
    let fixture = Fixture::new("wd-1", instances.collect());
    let mut avoid = Vec::new();
    for (n, it) in cases.iter().enumerate() {
        let intake = if it.open {
            Intake::Open
        } else {
            Intake::Closed
        };
        fixture.mark(&name(n), intake, NOW);
        let service = fixture.snapshot.service(fixture.service).unwrap();
        let mut endpoints = fixture.snapshot.endpoints_of(service);
        let found = endpoints.find(|(_, endpoint)| endpoint.instance.id.as_str() == name(n));
        avoid.extend(found.filter(|_| it.tried).map(|(key, _)| key));
    }
    (fixture, avoid)
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    /// Guards against requests that are refused although an endpoint is available, or sent to
    /// one that isn't.
    #[test]
    fn an_available_endpoint_is_picked_and_no_other(
        cases in vec(any::<(bool, bool, bool, bool)>(), 0..24),
    ) {
        let cases: Vec<EndpointCase> = cases.into_iter().map(EndpointCase::from).collect();
        let (mut fixture, avoid) = fixture_of(&cases);
        let any_available = cases.iter().any(EndpointCase::may_be_picked);
        let has_other =
            fixture.picker.has_alternative(fixture.service, &fixture.homes, NOW, &avoid);
        assert_eq!(has_other, any_available);
        for _ in 0..16 {
            match fixture.pick_except(NOW, &avoid) {
                Ok(picked) => {
                    let id = fixture.id(picked.endpoint()).as_str();
                    let n: usize = id.strip_prefix("ad-").unwrap().parse().unwrap();
                    assert!(cases[n].may_be_picked(), "{:?}", cases[n]);
                }
                Err(reason) => {
                    assert_eq!(reason, Reason::NoEndpoint);
                    assert!(!any_available);
                }
            }
        }
    }

    /// Guards against load that concentrates on one of several equal targets.
    #[test]
    fn random_choices_keep_load_of_equal_endpoints_balanced(seed in any::<u64>()) {
        let open = EndpointCase { far: false, leaving: false, open: true, tried: false };
        let (mut fixture, _) = fixture_of(&[open; 8]);
        fixture.rng = rand::SeedableRng::seed_from_u64(seed);
        let mut held = [0_usize; 8];
        let mut picks = Vec::new();
        for _ in 0..32 {
            let picked = fixture.pick(NOW);
            let id = fixture.id(picked.endpoint()).as_str();
            let n: usize = id.strip_prefix("ad-").unwrap().parse().unwrap();
            held[n] += 1;
            picks.push(picked);
        }
        let mean = 32 / 8;
        assert!(held.iter().all(|held| *held <= 2 * mean), "{held:?}");
    }
}
