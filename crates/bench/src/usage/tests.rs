use std::time::Duration;

use super::ProcessUsage;
use super::ThreadUsage;
use super::stat::Stat;

#[test]
fn a_name_with_spaces_and_brackets_does_not_shift_the_fields() {
    let line = "7 (a (b) c) S 1 7 7 0 -1 4194560 1 0 0 0 25 17 0 0 20 0 1 0";
    let stat = Stat::parse(line).unwrap();
    assert_eq!(stat.name, "a (b) c");
    assert_eq!(stat.cpu, Duration::from_millis(420));
}

#[test]
fn this_process_uses_memory_and_has_threads() {
    let usage = ProcessUsage::of_self().unwrap();
    assert!(usage.anonymous_bytes > 0 && usage.anonymous_bytes <= usage.rss_bytes);
    assert_eq!(
        ThreadUsage::now().unwrap().cpu_of("no such"),
        Duration::ZERO
    );
}
