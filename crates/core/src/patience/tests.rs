use std::time::Duration;

use super::Patience;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Guards against first attempts that can't be told from later ones under overload.
#[test]
fn first_attempts_stand_out_among_many_later_ones() {
    let mut patience = Patience::default();
    for n in 0..500 {
        patience.note(ms(2_500));
        patience.note(ms(900 + (n * 7_919) % 1_500));
        patience.note(ms(300 + (n * 104_729) % 1_700));
    }
    assert_eq!(patience.since_first(ms(2_500)), Duration::ZERO);
    assert_eq!(patience.since_first(ms(1_500)), ms(1_000));
}

#[test]
fn without_a_usual_time_every_attempt_counts_as_the_first() {
    let mut patience = Patience::default();
    for n in 0..100 {
        patience.note(ms(100 + n * 13));
    }
    assert_eq!(patience.since_first(ms(100)), Duration::ZERO);
}

// Operators give callers more time. The new time is taken over soon.
#[test]
fn a_new_usual_time_takes_the_place_of_the_old() {
    let mut patience = Patience::default();
    (0..1_000).for_each(|_| patience.note(ms(2_500)));
    (0..65).for_each(|_| patience.note(ms(4_000)));
    assert!(patience.since_first(ms(3_500)) <= ms(500));
}

/// Guards against deadlines that vary a little and are taken for later attempts.
#[test]
fn first_attempts_need_not_say_the_same_to_the_millisecond() {
    let mut patience = Patience::default();
    for n in 0..900 {
        patience.note(ms(1_275 + (n * 7_919) % 225));
        if n % 3 == 0 {
            patience.note(ms(450 + (n * 104_729) % 700));
        }
    }
    for first in [1_290, 1_400, 1_499] {
        assert_eq!(patience.since_first(ms(first)), Duration::ZERO, "{first}");
    }
    let age = patience.since_first(ms(900));
    assert!((ms(400)..ms(600)).contains(&age), "{age:?}");
}
