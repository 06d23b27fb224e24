use bytes::Bytes;
use rstest::rstest;
use sassafrasspool_core::PeerMessage;

use super::support::pull;
use crate::peer::MAX_MESSAGE_BYTES;
use crate::peer::Packed;

#[test]
fn small_messages_stay_plain() {
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

/// A message that a faulty or hostile peer sends.
#[derive(Debug)]
struct Hostile {
    packed: Packed,
    reason: &'static str,
}

/// Few bytes that unfold to more than any message may have.
fn bomb() -> Packed {
    let zeros = vec![0; MAX_MESSAGE_BYTES * 8];
    Packed::Zstd(zstd::bulk::compress(&zeros, 19).expect("compressed").into())
}

fn cut_short() -> Packed {
    let text = "workshop-desk ".repeat(10_000);
    match Packed::pack(&text).expect("packed") {
        Packed::Zstd(bytes) => Packed::Zstd(bytes.slice(..bytes.len() / 2)),
        plain => plain,
    }
}

#[rstest]
#[case::bomb(Hostile { packed: bomb(), reason: "a message over" })]
#[case::too_large(Hostile {
    packed: Packed::Plain(vec![0; MAX_MESSAGE_BYTES + 1].into()),
    reason: "a message over",
})]
#[case::cut_short(Hostile { packed: cut_short(), reason: "can't decompress" })]
#[case::not_compressed(Hostile {
    packed: Packed::Zstd(Bytes::from_static(b"plain")),
    reason: "can't decompress",
})]
#[case::empty(Hostile { packed: Packed::Plain(Bytes::new()), reason: "can't decode" })]
#[case::unknown_kind(Hostile {
    packed: Packed::Plain(Bytes::from_static(&[200, 1])),
    reason: "can't decode",
})]
#[case::more_after_it(Hostile {
    packed: Packed::Plain(Bytes::from_static(&[2, 0, 0, 9, 9])),
    reason: "2 bytes after the message",
})]
fn hostile_messages_are_refused(#[case] case: Hostile) {
    let err = case.packed.unpack::<PeerMessage>().expect_err("hostile");
    let text = err.to_string();
    assert!(text.starts_with("codec"), "{text}");
    assert!(text.contains(case.reason), "{text}");
}
