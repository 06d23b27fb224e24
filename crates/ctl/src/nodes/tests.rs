use std::fs;

use rstest::rstest;

use super::Nodes;

#[derive(Debug)]
struct Case {
    list: Option<&'static str>,
    file: Option<&'static str>,
    found: Result<usize, &'static str>,
}

#[rstest]
#[case(Case { list: Some("127.0.0.1:1,127.0.0.1:2"), file: None, found: Ok(2) })]
#[case(Case { list: Some("127.0.0.1:1, 127.0.0.1:1"), file: None, found: Ok(1) })]
#[case(Case { list: None, file: Some("127.0.0.1:1\n\n# spare\n[::1]:2 # b\n"), found: Ok(2) })]
#[case(Case { list: Some("127.0.0.1:1"), file: Some("127.0.0.1:1\n127.0.0.1:3"), found: Ok(2) })]
#[case(Case { list: None, file: None, found: Err("--nodes-file") })]
#[case(Case { list: Some(","), file: None, found: Err("--nodes-file") })]
#[case(Case { list: Some("127.0.0.1"), file: None, found: Err("\"127.0.0.1\" isn't an address") })]
#[case(Case { list: Some("127.0.0.1:70000"), file: None, found: Err("isn't an address") })]
fn nodes_are_named_once_or_refused(#[case] case: Case) {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("nodes");
    if let Some(text) = case.file {
        fs::write(&path, text).unwrap();
    }
    let file = case.file.map(|_| path.as_path());
    match (Nodes::of(case.list, file), case.found) {
        (Ok(nodes), Ok(count)) => assert_eq!(nodes.0.len(), count),
        (Err(err), Err(told)) => assert!(err.to_string().contains(told), "{err}"),
        (found, wanted) => panic!("{found:?}, wanted {wanted:?}"),
    }
}
