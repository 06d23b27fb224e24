use std::time::Duration;

use super::health::Health;
use crate::EjectSettings;
use crate::Tick;

const CFG: EjectSettings = EjectSettings {
    connect_failures: 2,
    errors: 5,
    slow_answers: 3,
    slow_factor: 5,
    slow_floor: Duration::from_millis(100),
    first_ejection: Duration::from_secs(1),
    max_ejection: Duration::from_secs(30),
    max_ejected_percent: 50,
};

/// Ejects the endpoint at `now`; returns how long the ejection lasts.
fn ejection(health: &Health, now: Tick) -> Duration {
    health.eject(now, &CFG);
    assert!(health.is_ejected(now));
    health.ejection_ends_at().unwrap().since(now)
}

#[test]
fn ejections_grow_to_a_bound_and_reset_after_a_rest() {
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
    assert_eq!(ejection(&health, rested), CFG.first_ejection);
}

#[test]
fn only_consecutive_failures_count() {
    let health = Health::default();
    let errors: Vec<_> = (0..5).map(|_| health.record_error(&CFG)).collect();
    assert_eq!(errors, [false, false, false, false, true]);
    health.record_success();
    assert!(!health.record_connect_failure(&CFG));
    health.record_response();
    assert!(
        !health.record_connect_failure(&CFG),
        "the response in between resets the count of failed connections"
    );
    assert!(health.record_connect_failure(&CFG));
    health.record_success();
    let slow: Vec<_> = (0..3).map(|_| health.record_slow(&CFG)).collect();
    assert_eq!(slow, [false, false, true]);
}

// An endpoint is still broken when its ejection ends. One failure is enough to eject it
// again, so that callers don't meet the full number of failures once more.
#[test]
fn one_failure_after_readmission_ejects_again() {
    let health = Health::default();
    ejection(&health, Tick::from_millis(1));
    assert!(health.record_error(&CFG));
    health.record_success();
    assert!(!health.record_error(&CFG));
}
