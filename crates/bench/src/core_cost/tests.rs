use super::run;
use crate::generate::Shape;

// Guards against a driver that doesn't deliver each change from the platform
// to the member, so that the figures are those of an idle machine.
#[test]
fn each_change_reaches_the_member() {
    let cost = run(Shape {
        services: 8,
        endpoints: 16,
        seed: 1,
    });
    let cost = cost.unwrap();
    assert!(cost.reader_us_per_change > 0.0, "{cost:?}");
    assert!(cost.member_us_per_change > cost.state_us, "{cost:?}");
    assert!(cost.announce_bytes > 0 && cost.sync_bytes > 0, "{cost:?}");
}
