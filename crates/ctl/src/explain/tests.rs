//! What nodes are asked.

use sassafrasspool_core::ServiceName;

use super::Asked;
use super::query;

// The address began with an empty parameter, which a stricter server refuses.
#[test]
fn the_address_has_each_parameter_and_no_empty_one() {
    let asked = Asked {
        service: ServiceName::new("desk").expect("a name"),
        host: Some("desk.example"),
        path: Some("/desk/files"),
    };
    let address = query(&asked);
    let (_, parameters) = address.split_once('?').expect("parameters");
    assert_eq!(
        parameters,
        "service=desk&host=desk.example&path=%2Fdesk%2Ffiles"
    );
}
