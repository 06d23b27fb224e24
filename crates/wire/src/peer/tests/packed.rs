use bytes::Bytes;
use rstest::rstest;
use sassafrasspool_core::PeerMessage;

use super::support::pull;
use crate::peer::MAX_MESSAGE_BYTES;
use crate::peer::Packed;

#[test]
fn small_messages_are_not_compressed() {
    let packed = Packed::pack(&pull()).expect("packed");
    assert!(matches!(packed, Packed::Plain(_)));
    assert_eq!(packed.unpack::<PeerMessage>().expect("unpacked"), pull());
}

#[test]
fn large_messages_are_compressed() {
    let text = "workshop-desk ".repeat(10_000);
    let packed = Packed::pack(&text).expect("packed");
    let Packed::Zstd(bytes) = &packed else {
        panic!("{packed:?} isn't compressed");
    };
    assert!(bytes.len() < 1_000);
    assert_eq!(packed.unpack::<String>().expect("unpacked"), text);
}

/// A message of a faulty or hostile peer, and the expected reason of its rejection.
#[derive(Debug)]
struct HostileMessage {
    packed: Packed,
    reason: &'static str,
}

/// A few bytes that decompress to more than the largest message.
fn decompression_bomb() -> Packed {
    let zeros = vec![0; MAX_MESSAGE_BYTES * 8];
    Packed::Zstd(zstd::bulk::compress(&zeros, 19).expect("compressed").into())
}

fn truncated() -> Packed {
    let text = "workshop-desk ".repeat(10_000);
    match Packed::pack(&text).expect("packed") {
        Packed::Zstd(bytes) => Packed::Zstd(bytes.slice(..bytes.len() / 2)),
        plain => plain,
    }
}

#[rstest]
#[case::bomb(HostileMessage { packed: decompression_bomb(), reason: "message larger than" })]
#[case::too_large(HostileMessage {
    packed: Packed::Plain(vec![0; MAX_MESSAGE_BYTES + 1].into()),
    reason: "message larger than",
})]
#[case::truncated(HostileMessage { packed: truncated(), reason: "can't decompress" })]
#[case::not_compressed(HostileMessage {
    packed: Packed::Zstd(Bytes::from_static(b"plain")),
    reason: "can't decompress",
})]
#[case::empty(HostileMessage { packed: Packed::Plain(Bytes::new()), reason: "can't decode" })]
#[case::unknown_kind(HostileMessage {
    packed: Packed::Plain(Bytes::from_static(&[200, 1])),
    reason: "can't decode",
})]
#[case::trailing_bytes(HostileMessage {
    packed: Packed::Plain(Bytes::from_static(&[2, 0, 0, 9, 9])),
    reason: "2 trailing bytes after the message",
})]
fn hostile_messages_are_rejected(#[case] case: HostileMessage) {
    let err = case.packed.unpack::<PeerMessage>().expect_err("hostile");
    let text = err.to_string();
    assert!(text.starts_with("codec"), "{text}");
    assert!(text.contains(case.reason), "{text}");
}
