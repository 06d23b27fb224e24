use super::parse;

const KEPT: &str = include_str!("../../regressions.txt");

// A line with a typo is skipped without an error, so that a seed that once failed isn't
// run any more.
#[test]
fn a_line_that_is_none_is_named() {
    for (text, told) in [("# a\n126 8 10\n", "line 2"), ("x 8 10 cause", "line 1")] {
        let fault = parse(text).expect_err("a fault");
        assert!(fault.to_string().contains(told), "{fault}");
    }
}

#[test]
fn the_kept_seeds_can_be_read_and_tell_their_causes() {
    let kept = parse(KEPT).expect("seeds");
    assert!(!kept.is_empty());
    assert!(kept.iter().all(|it| it.cause.len() > 20));
}
