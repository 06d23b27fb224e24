//! Answers whose head or framing is malformed, and unusual ones that are sound.

use std::net::SocketAddr;
use std::time::Duration;

use axum::Router;
use axum::body::Body;
use bytes::Bytes;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::Response;
use http::StatusCode;
use http::header::CONTENT_LENGTH;
use rstest::rstest;
use sassafrasspool_node::Dialect;
use tokio::net::TcpListener;

use crate::client;
use crate::fleet::ADJUSTER;
use crate::fleet::DESK;
use crate::fleet::Fleet;
use crate::fleet::Spec;
use crate::raw_target::RawTarget;

/// Sends a request by this method to the first node.
async fn call(fleet: &Fleet, method: Method, path: &str) -> hyper::Result<Response<Bytes>> {
    let mut req = client::get(path, "r-1");
    *req.method_mut() = method;
    client::call(fleet.members[0].addrs.ingress, req).await
}

/// Guards against a malformed answer that its caller receives as an answer of the target.
#[rstest]
// Transfer codings.
#[case::unknown_coding(
    b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunkeX\r\n\r\n4\r\nglas\r\n0\r\n\r\n"
)]
#[case::coding_before_chunked(
    b"HTTP/1.1 200 OK\r\ntransfer-encoding: gzip, chunked\r\n\r\n4\r\nglas\r\n0\r\n\r\n"
)]
#[case::coding_in_an_earlier_field(b"HTTP/1.1 200 OK\r\ntransfer-encoding: gzip\r\ntransfer-encoding: chunked\r\n\r\n4\r\nglas\r\n0\r\n\r\n")]
#[case::coding_after_chunked(
    b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked, gzip\r\n\r\n4\r\nglas\r\n0\r\n\r\n"
)]
#[case::chunked_twice(
    b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked, chunked\r\n\r\n4\r\nglas\r\n0\r\n\r\n"
)]
#[case::no_coding(b"HTTP/1.1 200 OK\r\ntransfer-encoding:\r\n\r\n4\r\nglas\r\n0\r\n\r\n")]
#[case::coding_with_parameter(
    b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked;q=1\r\n\r\n4\r\nglas\r\n0\r\n\r\n"
)]
#[case::coding_not_ascii(
    b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunk\xe9d\r\n\r\n4\r\nglas\r\n0\r\n\r\n"
)]
#[case::coding_in_http_1_0(
    b"HTTP/1.0 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nglas\r\n0\r\n\r\n"
)]
#[case::unknown_coding_beside_length(b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\ntransfer-encoding: chunkeX\r\n\r\n4\r\nglas\r\n0\r\n\r\n")]
#[case::length_below_chunks(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\ntransfer-encoding: chunked\r\n\r\n4\r\nglas\r\n0\r\n\r\n")]
#[case::length_above_chunks(b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\ntransfer-encoding: chunked\r\n\r\n4\r\nglas\r\n0\r\n\r\n")]
#[case::unreadable_length_beside_chunks(b"HTTP/1.1 200 OK\r\ncontent-length: x\r\ntransfer-encoding: chunked\r\n\r\n4\r\nglas\r\n0\r\n\r\n")]
// Bodies that only the end of the connection ends, though the target keeps the connection.
#[case::kept_connection(b"HTTP/1.1 200 OK\r\nconnection: keep-alive\r\n\r\nglas")]
#[case::connection_kept_for_a_time(b"HTTP/1.1 200 OK\r\nkeep-alive: timeout=5\r\n\r\nglas")]
#[case::misspelt_length_on_a_kept_connection(
    b"HTTP/1.1 200 OK\r\nkeep-alive: timeout=5\r\ncontent-lengtX: 4\r\n\r\nglasglas"
)]
#[case::kept_connection_in_http_1_0(b"HTTP/1.0 200 OK\r\nconnection: keep-alive\r\n\r\nglas")]
// Lengths.
#[case::length_with_letter(b"HTTP/1.1 200 OK\r\ncontent-length: 4x\r\n\r\nglas")]
#[case::length_with_sign(b"HTTP/1.1 200 OK\r\ncontent-length: +4\r\n\r\nglas")]
#[case::negative_length(b"HTTP/1.1 200 OK\r\ncontent-length: -4\r\n\r\nglas")]
#[case::length_with_blank(b"HTTP/1.1 200 OK\r\ncontent-length: 4 4\r\n\r\nglas")]
#[case::length_with_control_byte(b"HTTP/1.1 200 OK\r\ncontent-length: 4\x01\r\n\r\nglas")]
#[case::length_not_ascii(b"HTTP/1.1 200 OK\r\ncontent-length: \xb4\r\n\r\nglas")]
#[case::empty_length(b"HTTP/1.1 200 OK\r\ncontent-length:\r\n\r\nglas")]
#[case::hexadecimal_length(b"HTTP/1.1 200 OK\r\ncontent-length: 0x4\r\n\r\nglas")]
#[case::length_too_large(b"HTTP/1.1 200 OK\r\ncontent-length: 99999999999999999999\r\n\r\nglas")]
#[case::differing_lengths(b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\ncontent-length: 3\r\n\r\nglas")]
#[case::differing_lengths_in_a_list(b"HTTP/1.1 200 OK\r\ncontent-length: 4, 3\r\n\r\nglas")]
// Lines that are no fields.
#[case::name_with_blank(b"HTTP/1.1 200 OK\r\ncontent length: 4\r\n\r\nglas")]
#[case::name_with_blank_before_colon(b"HTTP/1.1 200 OK\r\ncontent-length : 4\r\n\r\nglas")]
#[case::name_with_control_byte(b"HTTP/1.1 200 OK\r\ncontent\x01length: 4\r\n\r\nglas")]
#[case::name_with_nul(b"HTTP/1.1 200 OK\r\nx-glass\0: 1\r\ncontent-length: 4\r\n\r\nglas")]
#[case::name_with_tab(b"HTTP/1.1 200 OK\r\nx\tglass: 1\r\ncontent-length: 4\r\n\r\nglas")]
#[case::name_not_ascii(b"HTTP/1.1 200 OK\r\nx-gl\xe4ss: 1\r\ncontent-length: 4\r\n\r\nglas")]
#[case::no_name(b"HTTP/1.1 200 OK\r\n: 4\r\n\r\nglas")]
#[case::no_colon(b"HTTP/1.1 200 OK\r\ncontent-length 4\r\n\r\nglas")]
#[case::no_colon_beside_length(b"HTTP/1.1 200 OK\r\nglass\r\ncontent-length: 4\r\n\r\nglas")]
#[case::folded_line(b"HTTP/1.1 200 OK\r\nx-glass: 1\r\n 2\r\ncontent-length: 4\r\n\r\nglas")]
#[case::lone_carriage_return(
    b"HTTP/1.1 200 OK\r\nx-glass: 1\rx-more: 2\r\ncontent-length: 4\r\n\r\nglas"
)]
#[case::value_with_control_byte(
    b"HTTP/1.1 200 OK\r\nx-glass: a\x01b\r\ncontent-length: 4\r\n\r\nglas"
)]
// Lines that end in a lone line feed, where the head would end too early.
#[case::line_feed_in_place_of_a_digit(
    b"HTTP/1.1 200 OK\r\ncontent-length: 2\n\r\n\r\nglasglasglasglasglasglas"
)]
#[case::line_feed_in_place_of_a_return(b"HTTP/1.1 200 OK\r\ncontent-length: 4\n\n\r\nglas")]
#[case::line_feed_before_the_length(
    b"HTTP/1.1 200 OK\r\nx-glass: a\n\r\ncontent-length: 4\r\n\r\nglas"
)]
#[case::line_feed_in_the_status_line(b"HTTP/1.1 200 O\n\r\ncontent-length: 4\r\n\r\nglas")]
#[case::line_feed_after_interim(
    b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 2\n\r\n\r\nglas"
)]
#[case::blank_line_of_blanks(b"HTTP/1.1 200 OK\r\n \r\ncontent-length: 4\r\n\r\nglas")]
// Versions.
#[case::unknown_version(b"HTTP/1.7 200 OK\r\ncontent-length: 4\r\n\r\nglas")]
#[case::malformed_version(b"HTTX/1.1 200 OK\r\ncontent-length: 4\r\n\r\nglas")]
#[case::no_version(b"200 OK\r\ncontent-length: 4\r\n\r\nglas")]
// Status codes.
#[case::status_000(b"HTTP/1.1 000 OK\r\ncontent-length: 4\r\n\r\nglas")]
#[case::status_099(b"HTTP/1.1 099 OK\r\ncontent-length: 4\r\n\r\nglas")]
#[case::status_600(b"HTTP/1.1 600 OK\r\ncontent-length: 4\r\n\r\nglas")]
#[case::status_999(b"HTTP/1.1 999 OK\r\ncontent-length: 4\r\n\r\nglas")]
#[case::status_of_two_digits(b"HTTP/1.1 20 OK\r\ncontent-length: 4\r\n\r\nglas")]
#[case::status_of_four_digits(b"HTTP/1.1 2000 OK\r\ncontent-length: 4\r\n\r\nglas")]
#[case::status_with_letter(b"HTTP/1.1 2x0 OK\r\ncontent-length: 4\r\n\r\nglas")]
#[case::unsolicited_upgrade(
    b"HTTP/1.1 101 Switching Protocols\r\nconnection: upgrade\r\nupgrade: glass\r\n\r\nglas"
)]
#[case::unsolicited_upgrade_without_fields(b"HTTP/1.1 101 OK\r\ncontent-length: 4\r\n\r\nglas")]
// The same after an interim answer.
#[case::status_000_after_interim(
    b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 OK\r\ncontent-length: 4\r\n\r\nglas"
)]
#[case::unknown_coding_after_interim(b"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\ntransfer-encoding: chunkeX\r\n\r\n4\r\nglas\r\n0\r\n\r\n")]
#[tokio::test]
async fn a_malformed_answer_is_replaced(
    #[case] answer: &'static [u8],
    #[values("/desk", "/adjuster", "/adjuster/approve")] path: &str,
) {
    let target = RawTarget::start(answer).await;
    let fleet = Fleet::start_with_shared_target(&[DESK, ADJUSTER], target.addr).await;
    let res = call(&fleet, Method::GET, path).await.expect("an answer");
    assert_eq!(res.status(), StatusCode::BAD_GATEWAY, "{res:?}");
    assert_eq!(client::header(&res, "x-sassafrasspool-outcome"), "unknown");
    assert_eq!(target.requests(), 1);
}

/// Guards against a spoilt body that its caller receives as a whole one.
#[rstest]
#[case::malformed_chunk_size(
    b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nx\r\nglas\r\n0\r\n\r\n"
)]
#[case::chunk_longer_than_its_size(
    b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nglas\r\n0\r\n\r\n"
)]
#[case::no_last_chunk(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nglas\r\n")]
#[case::trailer_without_colon(
    b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nglas\r\n0\r\nglass\r\n\r\n"
)]
#[case::trailer_name_with_blank(
    b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nglas\r\n0\r\nx glass: 1\r\n\r\n"
)]
#[case::body_shorter_than_its_length(b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nglas")]
#[tokio::test]
async fn a_malformed_body_is_never_complete(
    #[case] answer: &'static [u8],
    #[values("/desk", "/adjuster", "/adjuster/approve")] path: &str,
) {
    let target = RawTarget::start(answer).await;
    let fleet = Fleet::start_with_shared_target(&[DESK, ADJUSTER], target.addr).await;
    if let Ok(res) = call(&fleet, Method::GET, path).await {
        assert_eq!(res.status(), StatusCode::BAD_GATEWAY, "{res:?}");
    }
    assert_eq!(target.requests(), 1);
}

/// Guards against a malformed head that is passed on because its answer has no body.
#[rstest]
#[case::head(Method::HEAD, b"HTTP/1.1 200 OK\r\ncontent-length: 4x\r\n\r\n")]
#[case::head_differing_lengths(
    Method::HEAD,
    b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\ncontent-length: 3\r\n\r\n"
)]
#[case::head_unknown_coding(Method::HEAD, b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunkeX\r\n\r\n")]
#[case::head_length_beside_chunks(
    Method::HEAD,
    b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\ntransfer-encoding: chunked\r\n\r\n"
)]
#[case::head_status_600(Method::HEAD, b"HTTP/1.1 600 OK\r\ncontent-length: 4\r\n\r\n")]
#[case::no_content(Method::GET, b"HTTP/1.1 204 No Content\r\ncontent-length: -1\r\n\r\n")]
#[case::no_content_unknown_coding(
    Method::GET,
    b"HTTP/1.1 204 No Content\r\ntransfer-encoding: chunkeX\r\n\r\n"
)]
#[case::not_modified(
    Method::GET,
    b"HTTP/1.1 304 Not Modified\r\ncontent-length: \xb4\r\n\r\n"
)]
#[case::not_modified_empty_length(
    Method::GET,
    b"HTTP/1.1 304 Not Modified\r\ncontent-length:\r\n\r\n"
)]
#[tokio::test]
async fn a_malformed_head_without_a_body_is_replaced(
    #[case] method: Method,
    #[case] answer: &'static [u8],
    #[values("/desk", "/adjuster")] path: &str,
) {
    let target = RawTarget::start(answer).await;
    let fleet = Fleet::start_with_shared_target(&[DESK, ADJUSTER], target.addr).await;
    let res = call(&fleet, method, path).await.expect("an answer");
    assert_eq!(res.status(), StatusCode::BAD_GATEWAY, "{res:?}");
}

/// A sound answer of a target and what its caller receives.
#[derive(Debug)]
struct Sound {
    method: Method,
    answer: &'static [u8],
    status: u16,
    body: &'static str,
}

impl Sound {
    const fn get(answer: &'static [u8]) -> Sound {
        Sound {
            method: Method::GET,
            answer,
            status: 200,
            body: "glas",
        }
    }

    const fn without_body(method: Method, status: u16, answer: &'static [u8]) -> Sound {
        Sound {
            method,
            answer,
            status,
            body: "",
        }
    }
}

/// Guards against a sound answer that is rejected as malformed.
#[rstest]
#[case::length_with_blanks(Sound::get(b"HTTP/1.1 200 OK\r\ncontent-length: \t 4 \r\n\r\nglas"))]
#[case::length_with_zeros(Sound::get(b"HTTP/1.1 200 OK\r\ncontent-length: 004\r\n\r\nglas"))]
#[case::length_with_many_zeros(Sound::get(
    b"HTTP/1.1 200 OK\r\ncontent-length: 000000000000000000000004\r\n\r\nglas"
))]
#[case::same_length_twice(Sound::get(
    b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\ncontent-length: 4\r\n\r\nglas"
))]
#[case::same_length_in_a_list(Sound::get(b"HTTP/1.1 200 OK\r\ncontent-length: 4, 4\r\n\r\nglas"))]
#[case::until_close(Sound::get(b"HTTP/1.1 200 OK\r\n\r\nglas"))]
#[case::until_announced_close(Sound::get(b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nglas"))]
#[case::until_close_in_http_1_0(Sound::get(b"HTTP/1.0 200 OK\r\n\r\nglas"))]
#[case::until_announced_close_in_http_1_0(Sound::get(
    b"HTTP/1.0 200 OK\r\nconnection: close\r\n\r\nglas"
))]
#[case::until_announced_close_beside_keep_alive(Sound::get(
    b"HTTP/1.1 200 OK\r\nkeep-alive: timeout=5\r\nconnection: close\r\n\r\nglas"
))]
#[case::length_in_http_1_0(Sound::get(b"HTTP/1.0 200 OK\r\ncontent-length: 4\r\n\r\nglas"))]
#[case::kept_connection(Sound::get(b"HTTP/1.1 200 OK\r\nconnection: keep-alive\r\nkeep-alive: timeout=5\r\ncontent-length: 4\r\n\r\nglas"))]
#[case::chunked(Sound::get(
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n4\r\nglas\r\n0\r\n\r\n"
))]
#[case::chunked_with_blanks(Sound::get(
    b"HTTP/1.1 200 OK\r\ntransfer-encoding: \tCHUNKED \r\n\r\n4\r\nglas\r\n0\r\n\r\n"
))]
#[case::chunk_extension(Sound::get(
    b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4;a=b\r\nglas\r\n0;c\r\n\r\n"
))]
#[case::trailers(Sound::get(
    b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nglas\r\n0\r\nx-more: 1\r\n\r\n"
))]
#[case::empty_reason(Sound::get(b"HTTP/1.1 200 \r\ncontent-length: 4\r\n\r\nglas"))]
#[case::no_reason(Sound::get(b"HTTP/1.1 200\r\ncontent-length: 4\r\n\r\nglas"))]
#[case::value_not_ascii(Sound::get(
    b"HTTP/1.1 200 OK\r\nx-glass: gl\xe4ser\r\ncontent-length: 4\r\n\r\nglas"
))]
#[case::line_feeds_alone(Sound::get(b"HTTP/1.1 200 OK\ncontent-length: 4\n\nglas"))]
#[case::line_feeds_in_the_body(Sound {
    body: "\ngl\n\nas\r\n\r\n",
    ..Sound::get(b"HTTP/1.1 200 OK\r\ncontent-length: 11\r\n\r\n\ngl\n\nas\r\n\r\n")
})]
#[case::after_continue(Sound::get(
    b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nglas"
))]
#[case::after_early_hints(Sound::get(b"HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nglas"))]
#[case::head(Sound::without_body(
    Method::HEAD,
    200,
    b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\n"
))]
#[case::head_of_chunked(Sound::without_body(
    Method::HEAD,
    200,
    b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
))]
#[case::head_without_length(Sound::without_body(Method::HEAD, 200, b"HTTP/1.1 200 OK\r\n\r\n"))]
#[case::no_content(Sound::without_body(Method::GET, 204, b"HTTP/1.1 204 No Content\r\n\r\n"))]
#[case::no_content_with_length(Sound::without_body(
    Method::GET,
    204,
    b"HTTP/1.1 204 No Content\r\ncontent-length: 0\r\n\r\n"
))]
#[case::not_modified(Sound::without_body(
    Method::GET,
    304,
    b"HTTP/1.1 304 Not Modified\r\ncontent-length: 4\r\n\r\n"
))]
#[case::unassigned_status(Sound::without_body(
    Method::GET,
    299,
    b"HTTP/1.1 299 Glass\r\ncontent-length: 0\r\n\r\n"
))]
#[case::highest_status(Sound::without_body(
    Method::GET,
    599,
    b"HTTP/1.1 599 Glass\r\ncontent-length: 0\r\n\r\n"
))]
#[tokio::test]
async fn a_sound_answer_is_passed_on(
    #[case] sound: Sound,
    #[values("/desk", "/adjuster")] path: &str,
) {
    let target = RawTarget::start(sound.answer).await;
    let fleet = Fleet::start_with_shared_target(&[DESK, ADJUSTER], target.addr).await;
    let res = call(&fleet, sound.method, path).await.expect("an answer");
    assert_eq!(res.status().as_u16(), sound.status, "{res:?}");
    assert_eq!(res.body(), sound.body);
}

/// Guards against a malformed answer that is stored and returned to repeats of its request.
#[tokio::test]
async fn a_malformed_answer_is_not_stored() {
    let target = RawTarget::start(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\ntransfer-encoding: chunked\r\n\r\n4\r\nglas\r\n0\r\n\r\n");
    let target = target.await;
    let fleet = Fleet::start_with_shared_target(&[DESK, ADJUSTER], target.addr).await;
    fleet.keep_renewing_list_proof();
    let ingress = fleet.members[0].addrs.ingress;
    while target.requests() == 0 {
        let mut first = client::get("/adjuster/approve", "r-1");
        let headers = first.headers_mut();
        headers.insert("idempotency-key", HeaderValue::from_static("k-1"));
        headers.insert("x-request-attempt", HeaderValue::from_static("1"));
        let res = client::call(ingress, first).await.expect("an answer");
        assert!(res.status().is_server_error(), "{res:?}");
    }
    let mut repeat = client::get("/adjuster/approve", "r-2");
    let key = HeaderValue::from_static("k-1");
    repeat.headers_mut().insert("idempotency-key", key);
    let res = client::call(ingress, repeat).await.expect("an answer");
    assert_eq!(res.status(), StatusCode::BAD_GATEWAY, "{res:?}");
    assert_eq!(client::header(&res, "x-sassafrasspool-outcome"), "unknown");
    assert_eq!(target.requests(), 1);
}

/// Guards against a rate limit, or a departure, that is taken from a malformed answer.
#[rstest]
#[case::rate_limit(b"HTTP/1.1 200 OK\r\nx-target-rate-limit: 0.1\r\ntransfer-encoding: gzip, chunked\r\n\r\n4\r\nglas\r\n0\r\n\r\n")]
#[case::leaving(b"HTTP/1.1 600 OK\r\nx-target-leaving: 1\r\ncontent-length: 4\r\n\r\nglas")]
#[tokio::test]
async fn a_malformed_answer_states_nothing(#[case] answer: &'static [u8]) {
    /// Longer than a target that states that it leaves still gets requests.
    const DEPARTURE: Duration = Duration::from_millis(2_500);
    let target = RawTarget::start(answer).await;
    let fleet = Fleet::start_with_shared_target(&[DESK], target.addr).await;
    for sent in 1..=3 {
        let res = call(&fleet, Method::GET, "/desk/lodge").await;
        assert_eq!(res.expect("an answer").status(), StatusCode::BAD_GATEWAY);
        assert_eq!(target.requests(), sent);
        tokio::time::sleep(DEPARTURE / 2).await;
    }
}

/// Guards against a second run of a request whose first target declined it in a malformed
/// answer, which proves nothing.
#[rstest]
#[case::declined(b"HTTP/1.1 503 Full\r\nx-declined: 1\r\ncontent-length: 2\r\ntransfer-encoding: chunked\r\n\r\n4\r\nglas\r\n0\r\n\r\n")]
#[case::declined_by_unknown_status(
    b"HTTP/1.1 700 Full\r\nx-declined: 1\r\ncontent-length: 4\r\n\r\nglas"
)]
#[tokio::test]
async fn a_malformed_refusal_proves_nothing(#[case] answer: &'static [u8]) {
    let dialect = Dialect {
        not_run: Some(HeaderName::from_static("x-declined")),
        ..Dialect::NATIVE
    };
    let second = Spec { id: "wd-2", ..DESK };
    let target = RawTarget::start(answer).await;
    let fleet = Fleet::start_with_dialect(&[DESK, second], target.addr, dialect).await;
    let res = call(&fleet, Method::POST, "/desk/lodge").await;
    let res = res.expect("an answer");
    assert_eq!(res.status(), StatusCode::BAD_GATEWAY, "{res:?}");
    assert_eq!(client::header(&res, "x-sassafrasspool-outcome"), "unknown");
    assert_eq!(target.requests(), 1);
}

/// Guards against a malformed answer that is passed on because it arrives before the body of
/// its request was sent.
#[rstest]
#[tokio::test]
async fn an_early_malformed_answer_is_replaced(#[values("/desk", "/adjuster")] path: &str) {
    /// More than a node buffers, so that the body is streamed.
    const BODY_BYTES: usize = 2_000_000;
    let target = RawTarget::start(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\ntransfer-encoding: chunked\r\n\r\n4\r\nglas\r\n0\r\n\r\n");
    let target = target.await;
    let fleet = Fleet::start_with_shared_target(&[DESK, ADJUSTER], target.addr).await;
    let mut req = client::get(path, "r-1");
    *req.method_mut() = Method::POST;
    *req.body_mut() = vec![b'a'; BODY_BYTES].into();
    // The node may close the connection while the rest of the body is sent.
    if let Ok(res) = client::call(fleet.members[0].addrs.ingress, req).await {
        assert_eq!(res.status(), StatusCode::BAD_GATEWAY, "{res:?}");
    }
    assert_eq!(target.requests(), 1);
}

/// Guards against an answer that another node, of a version without these checks, passes on.
#[rstest]
#[case::status_600(600, None)]
#[case::status_999(999, None)]
#[case::length_with_letter(200, Some("4x"))]
#[case::empty_length(200, Some(""))]
#[tokio::test]
async fn a_malformed_answer_of_another_node_is_replaced(
    #[case] status: u16,
    #[case] length: Option<&'static str>,
    #[values(Method::GET, Method::HEAD)] method: Method,
) {
    let peer = start_peer(status, length).await;
    let fleet = Fleet::start(&[DESK]).await;
    fleet.publish_with_peer(&[DESK], 2, ADJUSTER, peer);
    let res = call(&fleet, method, "/adjuster").await.expect("an answer");
    assert_eq!(res.status(), StatusCode::BAD_GATEWAY, "{res:?}");
}

/// Starts a node that answers every request with this status and content length.
async fn start_peer(status: u16, length: Option<&'static str>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("a bound address");
    let answer = move || async move {
        let mut res = Response::new(Body::empty());
        *res.status_mut() = status.try_into().expect("a status");
        if let Some(length) = length {
            let length = HeaderValue::from_static(length);
            res.headers_mut().insert(CONTENT_LENGTH, length);
        }
        res
    };
    let app = Router::new().fallback(answer);
    tokio::spawn(async move { axum::serve(listener, app).await });
    addr
}
