use rstest::rstest;
use sassafrasspool_core::AuditEvent;
use sassafrasspool_core::Digest;
use sassafrasspool_core::EndpointState;
use sassafrasspool_core::InstanceId;
use sassafrasspool_core::Origin;
use sassafrasspool_core::Phase;
use sassafrasspool_core::Revision;
use sassafrasspool_core::Stream;
use sassafrasspool_core::Version;

use super::AuditTrail;

fn trail() -> AuditTrail {
    AuditTrail::new(InstanceId::new("wd-1").expect("a name"))
}

fn version(revision: u64) -> Version {
    let revision = Revision::new(revision).expect("a revision");
    Version::new(revision, Digest::of(b"content"))
}

#[test]
fn page_starts_after_the_requested_number() {
    let trail = trail();
    for phase in [Phase::Starting, Phase::Ready, Phase::Draining] {
        trail.write_phase(phase, "a test");
    }
    let page = trail.page(1);
    let numbers: Vec<u64> = page.records.iter().map(|record| record.number).collect();
    assert_eq!(numbers, [2, 3]);
    assert_eq!(page.dropped, 0);
}

#[test]
fn oldest_records_are_dropped_and_counted() {
    let trail = trail();
    for _ in 0..1_030 {
        trail.write_phase(Phase::Starting, "a test");
    }
    let page = trail.page(0);
    assert_eq!(page.records.len(), 1_024);
    assert_eq!(page.dropped, 6);
    assert_eq!(page.records[0].number, 7);
}

// Guards against losing the reason of a refusal after a fleet restart, which writes
// more records of endpoints than a ring holds.
#[test]
fn endpoint_records_do_not_evict_version_records() {
    let trail = trail();
    trail.write(&AuditEvent::Refused {
        stream: Stream::Catalogue,
        version: version(8),
        origin: Origin::Source,
        reason: "no service b".to_owned(),
    });
    for sequence in 0..2_000 {
        trail.write(&AuditEvent::Endpoint {
            state: EndpointState {
                instance: InstanceId::new("wd-2").expect("a name"),
                incarnation: 1,
                sequence,
                phase: Phase::Ready,
            },
            before: None,
            origin: Origin::Source,
        });
    }
    let page = trail.page(0);
    assert_eq!(page.records[0].event, "refused");
    assert_eq!(page.records.len(), 1 + 1_024);
    assert_eq!(page.dropped, 2_000 - 1_024);
    assert!(page.records.is_sorted_by_key(|record| record.number));
}

#[derive(Debug)]
struct RecordCase {
    event: AuditEvent,
    json: &'static str,
}

#[rstest]
#[case::applied(RecordCase {
    event: AuditEvent::Applied {
        stream: Stream::Catalogue,
        version: version(7),
        origin: Origin::Peer(InstanceId::new("wd-2").expect("a name")),
    },
    json: r#""event":"applied","stream":"catalogue","version":{"revision":7,"#,
})]
#[case::refused(RecordCase {
    event: AuditEvent::Refused {
        stream: Stream::Catalogue,
        version: version(8),
        origin: Origin::Source,
        reason: "route /a: no service b".to_owned(),
    },
    json: r#""from":"source","reason":"route /a: no service b""#,
})]
#[case::conflict(RecordCase {
    event: AuditEvent::Conflict {
        stream: Stream::Instances,
        held: version(3),
        offered: version(3),
        origin: Origin::Source,
    },
    json: r#""kept":{"revision":3"#,
})]
#[case::older(RecordCase {
    event: AuditEvent::OlderIgnored {
        stream: Stream::Instances,
        held: version(3),
        offered: Revision::new(2).expect("a revision"),
        origin: Origin::Source,
    },
    json: r#""reason":"revision 2 was offered""#,
})]
fn record_contains_the_fields_of_its_event(#[case] case: RecordCase) {
    let trail = trail();
    trail.write(&case.event);
    let page = serde_json::to_string(&trail.page(0)).expect("a page");
    assert!(page.contains(case.json), "{page}");
}
