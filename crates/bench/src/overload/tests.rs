use std::net::SocketAddr;
use std::time::Duration;

use sassafrasspool_core::Class;

use super::Goodput;
use crate::load::CallRecord;
use crate::load::Ending;
use crate::load::OpenLoop;

fn record(class: Class, ending: Ending) -> CallRecord {
    CallRecord {
        id: "o-1-1".to_owned(),
        key: None,
        attempt: 1,
        kind: "lookup",
        class,
        weight: 1,
        idempotent: true,
        entry: Some(SocketAddr::from(([127, 0, 0, 1], 1))),
        sent_us: 0,
        ended_us: 0,
        latency: Duration::from_millis(40),
        status: None,
        ending,
        detail: String::new(),
    }
}

#[test]
fn goodput_counts_whole_answers_by_class() {
    let load = OpenLoop {
        records: vec![
            record(Class::Critical, Ending::Answered),
            record(Class::Critical, Ending::Answered),
            record(Class::Standard, Ending::NotRun),
            record(Class::Standard, Ending::Answered),
            record(Class::Background, Ending::Unknown),
        ],
        ..OpenLoop::default()
    };
    let second = Duration::from_secs(1);
    let goodput = Goodput::new(&load, second, 4, second, 6);
    assert!((goodput.capacity_per_s - 4.0).abs() < 1e-9);
    assert!((goodput.goodput_of_capacity - 0.75).abs() < 1e-9);
    assert!((goodput.runs_per_answer - 2.0).abs() < 1e-9);
    let answered = |class: Class| goodput.by_class[class.as_str()].answered;
    assert!((answered(Class::Critical) - 1.0).abs() < 1e-9);
    assert!((answered(Class::Standard) - 0.5).abs() < 1e-9);
    assert!(answered(Class::Background).abs() < 1e-9);
}
