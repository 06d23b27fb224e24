use std::convert::Infallible;

use bytes::Bytes;
use futures::stream;
use http::HeaderValue;
use http::Response;
use http::Version;
use http_body_util::Either;
use http_body_util::Empty;
use http_body_util::StreamBody;
use hyper::body::Frame;
use rstest::rstest;

use super::validate_response_head;

mod line_endings;

/// A response head and its content length after the check; an error if it is malformed.
#[derive(Debug)]
struct Case {
    status: u16,
    version: Version,
    fields: &'static [(&'static str, &'static [u8])],
    /// Whether the request or the status excludes a body.
    bodyless: bool,
    length: Result<Option<&'static str>, &'static str>,
}

const SOUND: Case = Case {
    status: 200,
    version: Version::HTTP_11,
    fields: &[],
    bodyless: false,
    length: Ok(None),
};

const STATUS: Result<Option<&str>, &str> = Err("the status is not valid");
const NOT_FINAL: Result<Option<&str>, &str> = Err("the status is not that of a final response");
const CODING: Result<Option<&str>, &str> = Err("the transfer coding is not supported");
const VERSION: Result<Option<&str>, &str> = Err("this version has no transfer codings");
const BOTH: Result<Option<&str>, &str> = Err("there are a length and a transfer coding");
const KEPT: Result<Option<&str>, &str> = Err("a body without an end on a kept connection");
const LENGTH: Result<Option<&str>, &str> = Err("the length is not a number");
const LENGTHS: Result<Option<&str>, &str> = Err("the lengths differ");

/// Guards against a malformed head that is used, and against a sound one that is rejected.
#[rstest]
#[case::unframed(SOUND)]
#[case::highest_status(Case { status: 599, ..SOUND })]
#[case::status_above_the_highest(Case { status: 600, length: STATUS, ..SOUND })]
#[case::largest_status(Case { status: 999, length: STATUS, ..SOUND })]
#[case::interim_status(Case { status: 100, length: NOT_FINAL, ..SOUND })]
#[case::unsolicited_upgrade(Case { status: 101, length: NOT_FINAL, ..SOUND })]
#[case::chunked(Case { fields: &[("transfer-encoding", b"chunked")], ..SOUND })]
#[case::chunked_in_capitals(Case { fields: &[("transfer-encoding", b"CHUNKED")], ..SOUND })]
#[case::chunked_in_http_1_0(Case { version: Version::HTTP_10, fields: &[("transfer-encoding", b"chunked")], length: VERSION, ..SOUND })]
#[case::chunked_in_http_2(Case { version: Version::HTTP_2, fields: &[("transfer-encoding", b"chunked")], length: VERSION, ..SOUND })]
#[case::unknown_coding(Case { fields: &[("transfer-encoding", b"chunke")], length: CODING, ..SOUND })]
#[case::no_coding(Case { fields: &[("transfer-encoding", b"")], length: CODING, ..SOUND })]
#[case::two_codings(Case { fields: &[("transfer-encoding", b"gzip, chunked")], length: CODING, ..SOUND })]
#[case::two_coding_fields(Case { fields: &[("transfer-encoding", b"chunked"), ("transfer-encoding", b"chunked")], length: CODING, ..SOUND })]
#[case::coding_not_ascii(Case { fields: &[("transfer-encoding", b"chunk\xe9d")], length: CODING, ..SOUND })]
#[case::length_beside_coding(Case { fields: &[("content-length", b"4"), ("transfer-encoding", b"chunked")], length: BOTH, ..SOUND })]
#[case::length(Case { fields: &[("content-length", b"4")], length: Ok(Some("4")), ..SOUND })]
#[case::zero(Case { fields: &[("content-length", b"0")], length: Ok(Some("0")), ..SOUND })]
#[case::leading_zeros(Case { fields: &[("content-length", b"0000000000000000000000004")], length: Ok(Some("4")), ..SOUND })]
#[case::largest_length(Case { fields: &[("content-length", b"18446744073709551615")], length: Ok(Some("18446744073709551615")), ..SOUND })]
#[case::length_too_large(Case { fields: &[("content-length", b"18446744073709551616")], length: LENGTH, ..SOUND })]
#[case::same_length_in_a_list(Case { fields: &[("content-length", b"4,\t04")], length: Ok(Some("4")), ..SOUND })]
#[case::same_length_twice(Case { fields: &[("content-length", b"4"), ("content-length", b"4")], length: Ok(Some("4")), ..SOUND })]
#[case::differing_lengths_in_a_list(Case { fields: &[("content-length", b"4, 3")], length: LENGTHS, ..SOUND })]
#[case::differing_lengths(Case { fields: &[("content-length", b"4"), ("content-length", b"3")], length: LENGTHS, ..SOUND })]
#[case::empty_length(Case { fields: &[("content-length", b"")], length: LENGTH, ..SOUND })]
#[case::empty_list_element(Case { fields: &[("content-length", b"4,")], length: LENGTH, ..SOUND })]
#[case::sign(Case { fields: &[("content-length", b"+4")], length: LENGTH, ..SOUND })]
#[case::blank_within(Case { fields: &[("content-length", b"4 4")], length: LENGTH, ..SOUND })]
#[case::letter(Case { fields: &[("content-length", b"4x")], length: LENGTH, ..SOUND })]
#[case::not_ascii(Case { fields: &[("content-length", b"\xb4")], length: LENGTH, ..SOUND })]
#[case::length_in_http_2(Case { version: Version::HTTP_2, fields: &[("content-length", b"4")], length: Ok(Some("4")), ..SOUND })]
#[case::unframed_on_a_closing_connection(Case { fields: &[("connection", b"close")], ..SOUND })]
#[case::unframed_on_a_kept_connection(Case { fields: &[("connection", b"Keep-Alive")], length: KEPT, ..SOUND })]
#[case::unframed_on_a_connection_kept_for_a_time(Case { fields: &[("keep-alive", b"timeout=5")], length: KEPT, ..SOUND })]
#[case::unframed_in_http_1_0_on_a_kept_connection(Case { version: Version::HTTP_10, fields: &[("connection", b"keep-alive")], length: KEPT, ..SOUND })]
#[case::close_overrides_kept(Case { fields: &[("keep-alive", b"timeout=5"), ("connection", b"x-glass, Close")], ..SOUND })]
#[case::chunked_on_a_kept_connection(Case { fields: &[("keep-alive", b"timeout=5"), ("transfer-encoding", b"chunked")], ..SOUND })]
#[case::bodyless_on_a_kept_connection(Case { fields: &[("keep-alive", b"timeout=5")], bodyless: true, ..SOUND })]
#[case::bodyless_with_unreadable_length(Case { fields: &[("content-length", b"4x")], bodyless: true, length: LENGTH, ..SOUND })]
fn a_response_head_is_checked(#[case] case: Case) {
    let parts = stream::empty::<Result<Frame<Bytes>, Infallible>>();
    let mut res = Response::new(match case.bodyless {
        true => Either::Left(Empty::<Bytes>::new()),
        false => Either::Right(StreamBody::new(parts)),
    });
    *res.status_mut() = case.status.try_into().expect("a status");
    *res.version_mut() = case.version;
    for (name, value) in case.fields {
        let value = HeaderValue::from_bytes(value).expect("a field value");
        res.headers_mut().append(*name, value);
    }
    let checked = validate_response_head(&mut res).map_err(|err| err.to_string());
    let lengths = res.headers().get_all("content-length").iter();
    let lengths: Vec<&str> = lengths.map(|it| it.to_str().unwrap_or("")).collect();
    match case.length {
        Ok(length) => {
            assert_eq!(checked, Ok(()));
            assert_eq!(lengths, Vec::from_iter(length));
        }
        Err(reason) => assert_eq!(checked, Err(reason.to_owned())),
    }
}
