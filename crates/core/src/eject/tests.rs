use std::time::Duration;

use super::health::Health;
use crate::EjectSettings;
use crate::Tick;

const CFG: EjectSettings = EjectSettings {
    connects: 2,
    errors: 5,
    slow_answers: 3,
    slow_factor: 5,
    slow_floor: Duration::from_millis(100),
    first: Duration::from_secs(1),
    longest: Duration::from_secs(30),
    max_percent: 50,
};

/// How long the next ejection lasts, from `now` on.
fn ejection(health: &Health, now: Tick) -> Duration {
    health.eject(now, &CFG);
    assert!(health.is_ejected(now));
    health.back_at().unwrap().since(now)
}

#[test]
fn ejections_grow_to_a_bound_and_start_over_after_a_rest() {
    let health = Health::default();
    let mut now = Tick::from_millis(1);
    let mut times = Vec::new();
    for _ in 0..7 {
        let time = ejection(&health, now);
        now = now + time;
        assert!(!health.is_ejected(now));
        times.push(time.as_secs());
    }
    assert_eq!(times, [1, 2, 4, 8, 16, 30, 30]);
    let rested = now + Duration::from_secs(61);
    assert_eq!(ejection(&health, rested), CFG.first);
}

#[test]
fn counts_are_of_failures_in_a_row() {
    let health = Health::default();
    let errors: Vec<_> = (0..5).map(|_| health.failed(&CFG)).collect();
    assert_eq!(errors, [false, false, false, false, true]);
    health.good();
    assert!(!health.no_connection(&CFG));
    health.alive();
    assert!(
        !health.no_connection(&CFG),
        "the refusal between was a sign of life"
    );
    assert!(health.no_connection(&CFG));
    health.good();
    let slow: Vec<_> = (0..3).map(|_| health.slow(&CFG)).collect();
    assert_eq!(slow, [false, false, true]);
}

// An endpoint comes back from an ejection still broken. One failure is enough
// to leave it out again: callers don't pay the whole count once more.
#[test]
fn one_failure_after_the_return_is_enough() {
    let health = Health::default();
    ejection(&health, Tick::from_millis(1));
    assert!(health.failed(&CFG));
    health.good();
    assert!(!health.failed(&CFG));
}
