//! Messages of a faulty or hostile peer to a running node.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rstest::rstest;
use sassafrasspool_core::Announce;
use sassafrasspool_core::Body;
use sassafrasspool_core::Catalogue;
use sassafrasspool_core::Digest;
use sassafrasspool_core::Heads;
use sassafrasspool_core::InstanceId;
use sassafrasspool_core::MAX_BODY_BYTES;
use sassafrasspool_core::PeerMessage;
use sassafrasspool_core::PeerReply;
use sassafrasspool_core::Revision;
use sassafrasspool_core::Stream;
use sassafrasspool_core::Version;
use sassafrasspool_core::catalogue;
use sassafrasspool_node::RunningNode;
use sassafrasspool_wire::peer::PeerConnection;
use tokio::net::TcpListener;

use crate::common::CATALOGUE;
use crate::support::Fleet;
use crate::support::in_force;

const LIMIT: Duration = Duration::from_secs(5);

/// A catalogue that was never published.
fn forged(revision: u64) -> Catalogue {
    let revision = Revision::new(revision).expect("a revision");
    let items = catalogue::parse("kinds: {}\nservices: {}").expect("a catalogue");
    Catalogue::new(revision, items).expect("a catalogue")
}

/// A whole body of the forged catalogue.
fn whole() -> Body {
    Body::whole(Stream::Catalogue, &forged(9)).expect("a body")
}

/// A body that claims another digest than its content has.
fn other_digest() -> Body {
    let revision = Revision::new(9).expect("a revision");
    Body {
        version: Version::new(revision, Digest::of(b"other")),
        ..whole()
    }
}

/// A body that claims to be a change of what the node doesn't hold.
fn other_base() -> Body {
    Body {
        base: Some(forged(8).version()),
        ..whole()
    }
}

fn with_bytes(bytes: Vec<u8>) -> Body {
    Body {
        bytes: bytes.into(),
        ..whole()
    }
}

/// Announces a body, and heads to match, from an address where nobody is.
fn announce(body: Body, control: SocketAddr) -> PeerMessage {
    PeerMessage::Announce(Announce {
        control,
        heads: Heads {
            catalogue: Some(body.version),
            instances: None,
        },
        contact: None,
        body: Some(body),
        states: Vec::new(),
        reports: Vec::new(),
    })
}

async fn send(node: &RunningNode, from: &str, message: &PeerMessage) -> Option<PeerReply> {
    let connection = PeerConnection::open(node.addrs().control, Arc::default(), LIMIT);
    let connection = connection.await.expect("a connection");
    let from = InstanceId::new(from).expect("a name");
    connection.exchange(&from, message, LIMIT).await.ok()
}

/// Guards against a damaged body that comes into force in part, or holds up the next version.
#[rstest]
#[case::other_digest(other_digest())]
#[case::other_base(other_base())]
#[case::garbage(with_bytes(vec![255; 100]))]
#[case::empty(with_bytes(Vec::new()))]
#[case::too_large(with_bytes(vec![0; MAX_BODY_BYTES + 1]))]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn faulty_body_changes_nothing(#[case] body: Body) {
    let fleet = Fleet::start(1).await;
    let first = fleet.publish(CATALOGUE);
    fleet.until_in_force(first).await;
    fleet.until_ready().await;
    let node = &fleet.nodes[0];
    let free = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let nobody = free.local_addr().expect("its address");
    drop(free);

    send(node, "wd-9", &announce(body, nobody)).await;
    assert_eq!(in_force(node), Some(first));
    let second = fleet.publish(&CATALOGUE.replace("weight: 1", "weight: 2"));
    fleet.until_in_force(second).await;
    fleet.cancel.cancel();
}

/// Guards against two processes of one name that undo each other's word.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn message_under_the_own_name_is_refused() {
    let fleet = Fleet::start(1).await;
    let node = &fleet.nodes[0];
    let message = announce(whole(), node.addrs().control);
    let reply = send(node, "wd-0", &message).await;
    assert_eq!(reply, Some(PeerReply::Refused));
    assert_eq!(in_force(node), None);
    fleet.cancel.cancel();
}
