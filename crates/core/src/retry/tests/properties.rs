//! Properties over random failures, compared with a naive version.

use std::time::Duration;

use proptest::collection::vec;
use proptest::prelude::Just;
use proptest::prelude::ProptestConfig;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prop_oneof;
use proptest::proptest;
use proptest::test_runner::RngSeed;

use super::LIMITS;
use super::NOW;
use super::lost;
use super::refused;
use crate::Deadline;
use crate::Failure;
use crate::Hop;
use crate::Outcome;
use crate::Reason;
use crate::RetryBudget;
use crate::RetryDecision;
use crate::RetryState;
use crate::Tick;

/// The timeout of a request.
const TIMEOUT: Duration = Duration::from_secs(1);

/// The largest number of retries of one request after attempts that reached no
/// target: reroutes from wrong endpoints, and attempts at nodes without capacity.
const MAX_RETRIES_WITHOUT_TARGET: usize = 4 + 2;

/// One request with the failures of its attempts, each with its time in milliseconds.
#[derive(Debug, Clone)]
struct RandomRequest {
    hop: Hop,
    idempotent: bool,
    failures: Vec<(Failure, u64)>,
}

impl RandomRequest {
    /// Applies the failures until one ends the request. Returns the failures that
    /// were retried, and the failure that the caller receives.
    fn run(&self, budget: &RetryBudget) -> (Vec<Failure>, Failure) {
        let deadline = Deadline::within(NOW, TIMEOUT);
        let mut retry = RetryState::new(self.hop, self.idempotent, &LIMITS, deadline, budget);
        let mut retried = Vec::new();
        let mut now: Tick = NOW;
        for (failure, took_ms) in &self.failures {
            now = now + Duration::from_millis(*took_ms);
            match retry.on_failure(now, *failure, budget) {
                RetryDecision::Retry => retried.push(*failure),
                RetryDecision::Stop(reported) => return (retried, reported),
            }
        }
        // At its deadline every request ends.
        match retry.on_failure(NOW + TIMEOUT, lost(), budget) {
            RetryDecision::Stop(reported) => (retried, reported),
            RetryDecision::Retry => panic!("retried after its deadline"),
        }
    }

    /// How often the naive version sends the request: it retries every failure
    /// as long as there are attempts.
    fn naive_sends(&self) -> usize {
        let attempts = usize::try_from(LIMITS.attempts).unwrap();
        attempts.min(self.failures.len() + 1)
    }
}

fn failure() -> impl Strategy<Value = Failure> {
    prop_oneof![
        Just(lost()),
        Just(refused(Reason::TargetShed)),
        Just(refused(Reason::QueueFull)),
        Just(refused(Reason::Draining)),
        Just(refused(Reason::Connect)),
        Just(refused(Reason::NoEndpoint)),
        Just(refused(Reason::OtherGeneration)),
    ]
}

fn request() -> impl Strategy<Value = RandomRequest> {
    let hop = prop_oneof![Just(Hop::First), Just(Hop::Later)];
    let failures = vec((failure(), 0_u64..400), 1..12);
    (hop, any::<bool>(), failures).prop_map(|(hop, idempotent, failures)| RandomRequest {
        hop,
        idempotent,
        failures,
    })
}

/// Whether a try with this failure may have used a target's time.
fn reached_a_target(failure: &Failure) -> bool {
    match failure {
        Failure::Lost(_) => true,
        Failure::Refused(refusal) => refusal.reason().is_from_target(),
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(5),
        ..ProptestConfig::default()
    })]

    /// Guards against retries of requests that may have run, and false refusals.
    #[test]
    fn nothing_runs_twice_and_no_refusal_is_false(case in request()) {
        let (retried, reported) = case.run(&RetryBudget::new());
        assert!(case.hop == Hop::First || retried.is_empty());
        let lost_before = retried.iter().any(|it| matches!(it, Failure::Lost(_)));
        assert!(!lost_before || case.idempotent);
        if let Failure::Refused(refusal) = reported {
            assert!(!lost_before || refusal.outcome() != Outcome::NotRun);
        }
        let reached = retried.iter().filter(|it| reached_a_target(it)).count();
        assert!(reached < usize::try_from(LIMITS.attempts).unwrap());
        assert!(retried.len() - reached <= MAX_RETRIES_WITHOUT_TARGET);
    }

    /// Guards against retries that double the load of a failing service.
    #[test]
    fn a_failing_service_gets_a_tenth_more_where_naive_retries_double_the_load(
        kinds in vec(any::<bool>(), 400..600),
    ) {
        let budget = RetryBudget::new();
        let calls = kinds.iter().map(|shed| RandomRequest {
            hop: Hop::First,
            idempotent: true,
            failures: vec![(if *shed { refused(Reason::TargetShed) } else { lost() }, 1); 3],
        });
        let (mut sent, mut naive) = (0, 0);
        for call in calls {
            let (retried, _) = call.run(&budget);
            sent += 1 + retried.len();
            naive += call.naive_sends();
        }
        let initial_balance = 10;
        assert!(sent <= kinds.len() * 110 / 100 + initial_balance + 1, "{sent}");
        assert_eq!(naive, 2 * kinds.len());
    }
}
