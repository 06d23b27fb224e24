use std::fs;

use rstest::rstest;

use super::Nodes;

#[derive(Debug)]
struct Case {
    list: Option<&'static str>,
    file: Option<&'static str>,
    expected: Result<usize, &'static str>,
}

#[rstest]
#[case(Case { list: Some("127.0.0.1:1,127.0.0.1:2"), file: None, expected: Ok(2) })]
#[case(Case { list: Some("127.0.0.1:1, 127.0.0.1:1"), file: None, expected: Ok(1) })]
#[case(Case { list: None, file: Some("127.0.0.1:1\n\n# spare\n[::1]:2 # b\n"), expected: Ok(2) })]
#[case(Case { list: Some("127.0.0.1:1"), file: Some("127.0.0.1:1\n127.0.0.1:3"), expected: Ok(2) })]
#[case(Case { list: None, file: None, expected: Err("--nodes-file") })]
#[case(Case { list: Some(","), file: None, expected: Err("--nodes-file") })]
#[case(Case { list: Some("127.0.0.1"), file: None, expected: Err("\"127.0.0.1\" isn't an address") })]
#[case(Case { list: Some("127.0.0.1:70000"), file: None, expected: Err("isn't an address") })]
fn from_flags_removes_duplicates_and_rejects_bad_addresses(#[case] case: Case) {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("nodes");
    if let Some(text) = case.file {
        fs::write(&path, text).unwrap();
    }
    let file = case.file.map(|_| path.as_path());
    match (Nodes::from_flags(case.list, file), case.expected) {
        (Ok(nodes), Ok(count)) => assert_eq!(nodes.0.len(), count),
        (Err(err), Err(reason)) => assert!(err.to_string().contains(reason), "{err}"),
        (found, expected) => panic!("{found:?}, expected {expected:?}"),
    }
}
