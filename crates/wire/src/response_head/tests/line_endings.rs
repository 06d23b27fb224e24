use rstest::rstest;

use crate::IoObserver;
use crate::LineEndings;

/// Guards against a head that ends early at a line feed within it, and against bytes of a body
/// that are taken for a part of the head.
#[rstest]
#[case::crlf(b"HTTP/1.1 200 OK\r\nx-a: 1\r\n\r\n", true)]
#[case::lone_lf(b"HTTP/1.1 200 OK\nx-a: 1\n\n", true)]
#[case::incomplete(b"HTTP/1.1 200 OK\r\nx-a: 1", true)]
#[case::lf_in_the_status_line(b"HTTP/1.1 200 O\n\r\nx-a: 1\r\n\r\n", false)]
#[case::lf_in_a_value(b"HTTP/1.1 200 OK\r\nx-a: 1\n\r\n\r\n", false)]
#[case::lf_in_place_of_a_cr(b"HTTP/1.1 200 OK\r\nx-a: 1\n\n\r\n", false)]
#[case::lf_at_the_end(b"HTTP/1.1 200 OK\r\nx-a: 1\r\n\n", false)]
#[case::lf_in_the_body(b"HTTP/1.1 200 OK\r\nx-a: 1\r\n\r\na\n\n", true)]
#[case::crlf_in_the_body_after_lone_lf(b"HTTP/1.1 200 OK\nx-a: 1\n\n\r\n", true)]
#[case::no_fields(b"HTTP/1.1 200 OK\r\n\r\n\n", true)]
#[case::empty_lines_before(b"\r\n\r\nHTTP/1.1 200 OK\r\n\r\n\n", true)]
#[case::lf_after_interim(
    b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nx-a: 1\n\r\n\r\n",
    false
)]
#[case::lf_in_the_body_after_interim(
    b"HTTP/1.1 103 Early Hints\r\nx-a: 1\r\n\r\nHTTP/1.1 200 OK\r\n\r\n\n",
    true
)]
fn the_line_endings_of_a_head_are_alike(
    #[case] bytes: &[u8],
    #[case] alike: bool,
    #[values(1, 7, 1000)] read_size: usize,
) {
    let mut lines = LineEndings::default();
    for read in bytes.chunks(read_size) {
        lines.on_read(read);
    }
    assert_eq!(lines.check().is_ok(), alike);
}

/// Guards against a connection whose later heads go unchecked, or fail because of an earlier
/// one.
#[test]
fn each_head_on_a_connection_is_checked() {
    let mut lines = LineEndings::default();
    lines.on_read(b"HTTP/1.1 200 OK\r\nx-a: 1\n\r\n");
    assert!(lines.check().is_err());
    lines.expect_head();
    lines.on_read(b"HTTP/1.1 200 OK\r\nx-a: 1\r\n\r\na\n");
    assert!(lines.check().is_ok());
    lines.expect_head();
    lines.on_read(b"HTTP/1.1 200 OK\r\nx-a: 1\n\r\n");
    assert!(lines.check().is_err());
}
