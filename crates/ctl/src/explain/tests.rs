//! The query sent to nodes.

use sassafrasspool_core::ServiceName;

use super::ExplainParams;
use super::explain_path;

// Guards against a query that begins with an empty parameter, which a strict
// server rejects.
#[test]
fn explain_path_has_each_parameter_and_no_empty_one() {
    let params = ExplainParams {
        service: ServiceName::new("desk").expect("a name"),
        host: Some("desk.example"),
        path: Some("/desk/files"),
    };
    let path = explain_path(&params);
    let (_, parameters) = path.split_once('?').expect("parameters");
    assert_eq!(
        parameters,
        "service=desk&host=desk.example&path=%2Fdesk%2Ffiles"
    );
}
