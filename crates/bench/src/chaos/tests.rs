use std::time::Duration;

use sassafrasspool_core::Catalogue;
use sassafrasspool_core::InstanceList;
use sassafrasspool_core::Revision;
use sassafrasspool_core::Snapshot;
use sassafrasspool_core::catalogue::parse;

use super::Fault;
use super::Options;
use super::Script;
use super::catalogue;
use super::run;

const LENGTH: Duration = Duration::from_secs(60);

#[test]
fn a_script_is_reproducible_and_affects_at_most_half_of_the_instances() {
    let script = Script::draw(8, LENGTH, 3);
    assert_eq!(script, Script::draw(8, LENGTH, 3));
    assert_ne!(script, Script::draw(8, LENGTH, 4));
    for step in &script.steps {
        let faulty = script.steps.iter().filter(|other| {
            let until = other.at + other.fault.length();
            other.fault.instance().is_some() && other.at <= step.at && step.at < until
        });
        assert!(faulty.count() <= 4, "{step:?}");
    }
}

#[test]
fn scripts_contain_every_fault() {
    let drawn: Vec<Fault> = (0..20)
        .flat_map(|seed| Script::draw(8, LENGTH, seed).steps)
        .map(|step| step.fault)
        .collect();
    let mut names: Vec<String> = drawn
        .iter()
        .map(|fault| format!("{fault:?}"))
        .map(|text| text.split(' ').next().unwrap_or_default().to_owned())
        .collect();
    names.sort();
    names.dedup();
    assert_eq!(names.len(), 20, "{names:?}");
}

fn binds(text: &str) -> bool {
    let revision = Revision::new(1).unwrap();
    let held = Catalogue::new(revision, parse(text).unwrap()).unwrap();
    let list = InstanceList::new(revision, Vec::new()).unwrap();
    Snapshot::build(&held, &list).is_ok()
}

#[test]
fn valid_texts_bind_and_invalid_ones_do_not() {
    assert!(binds(&catalogue::text(0)));
    assert!(binds(&catalogue::text(7)));
    assert!(!binds(&catalogue::bad_text(7)));
}

/// Guards against an evaluation that finds no violation of a naive proxy.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn violations_of_the_naive_proxy_are_found() {
    let report = run(Options {
        nodes: 4,
        length: Duration::from_secs(2),
        seed: 1,
        rate_per_node: 100.0,
        naive: true,
        keep_logs: false,
    });
    let report = report.await.unwrap();
    assert!(report.verdict.doubled > 0, "{report:?}");
    assert!(report.violations.contains_key("at-most-once"), "{report:?}");
}
