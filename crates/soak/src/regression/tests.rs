use super::parse;

const REGRESSIONS: &str = include_str!("../../regressions.txt");

// A line with a typo is skipped without an error, so that a seed that once failed isn't
// run any more.
#[test]
fn an_invalid_line_is_named_in_the_error() {
    for (text, expected) in [("# a\n126 8 10\n", "line 2"), ("x 8 10 cause", "line 1")] {
        let fault = parse(text).expect_err("a fault");
        assert!(fault.to_string().contains(expected), "{fault}");
    }
}

#[test]
fn the_stored_seeds_parse_and_have_causes() {
    let regressions = parse(REGRESSIONS).expect("seeds");
    assert!(!regressions.is_empty());
    assert!(regressions.iter().all(|it| it.cause.len() > 20));
}
