use std::time::Duration;

use super::CallerTimeouts;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Guards against first attempts that are not distinguished from retries under overload.
#[test]
fn first_attempts_are_detected_among_many_retries() {
    let mut timeouts = CallerTimeouts::default();
    for n in 0..500 {
        timeouts.record(ms(2_500));
        timeouts.record(ms(900 + (n * 7_919) % 1_500));
        timeouts.record(ms(300 + (n * 104_729) % 1_700));
    }
    assert_eq!(timeouts.time_since_first_attempt(ms(2_500)), Duration::ZERO);
    assert_eq!(timeouts.time_since_first_attempt(ms(1_500)), ms(1_000));
}

#[test]
fn without_a_usual_timeout_every_attempt_counts_as_the_first() {
    let mut timeouts = CallerTimeouts::default();
    for n in 0..100 {
        timeouts.record(ms(100 + n * 13));
    }
    assert_eq!(timeouts.time_since_first_attempt(ms(100)), Duration::ZERO);
}

/// Guards against an estimate that keeps the old timeout after operators raised it.
#[test]
fn a_new_usual_timeout_replaces_the_old_one() {
    let mut timeouts = CallerTimeouts::default();
    (0..1_000).for_each(|_| timeouts.record(ms(2_500)));
    (0..65).for_each(|_| timeouts.record(ms(4_000)));
    assert!(timeouts.time_since_first_attempt(ms(3_500)) <= ms(500));
}

/// Guards against first attempts whose timeouts vary a little and are taken for retries.
#[test]
fn first_attempts_may_name_slightly_different_timeouts() {
    let mut timeouts = CallerTimeouts::default();
    for n in 0..900 {
        timeouts.record(ms(1_275 + (n * 7_919) % 225));
        if n % 3 == 0 {
            timeouts.record(ms(450 + (n * 104_729) % 700));
        }
    }
    for first in [1_290, 1_400, 1_499] {
        assert_eq!(
            timeouts.time_since_first_attempt(ms(first)),
            Duration::ZERO,
            "{first}"
        );
    }
    let age = timeouts.time_since_first_attempt(ms(900));
    assert!((ms(400)..ms(600)).contains(&age), "{age:?}");
}
