use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use sassafrasspool_core::PeerReply;
use sassafrasspool_core::Result;
use sassafrasspool_core::Step;
use tokio::net::TcpListener;

use super::support::StatefulFirewall;
use super::support::TestServer;
use super::support::own_id;
use super::support::pull;
use crate::SocketBytes;
use crate::peer::PeerLimits;
use crate::peer::PeerPool;

const TIMEOUT: Duration = Duration::from_secs(5);

fn new_pool(limits: PeerLimits) -> PeerPool {
    PeerPool::new(limits, Arc::new(SocketBytes::default()), 1)
}

async fn exchange(pool: &PeerPool, addr: SocketAddr) -> Result<PeerReply> {
    pool.exchange(addr, &own_id(), &pull(), TIMEOUT).await
}

#[tokio::test]
async fn connection_is_kept_and_its_bytes_are_counted() {
    let server = TestServer::start(PeerLimits::default()).await;
    let bytes = Arc::new(SocketBytes::default());
    let pool = PeerPool::new(PeerLimits::default(), Arc::clone(&bytes), 1);
    for _ in 0..3 {
        exchange(&pool, server.addr).await.expect("an answer");
    }
    assert_eq!(server.received.messages(), 3);
    assert_eq!(pool.address_count(), 1);
    assert_eq!(bytes.written(), server.bytes.read());
    assert_eq!(bytes.read(), server.bytes.written());
    assert!(bytes.written() > 0);
}

#[tokio::test]
async fn full_pool_evicts_the_least_recently_used_connection() {
    let limits = PeerLimits {
        max_outbound: 2,
        ..PeerLimits::default()
    };
    let pool = new_pool(limits);
    for _ in 0..5 {
        let server = TestServer::start(PeerLimits::default()).await;
        exchange(&pool, server.addr).await.expect("an answer");
        assert!(pool.address_count() <= 2);
    }
}

/// Guards against a message that fails because its connection leads to a process that has
/// ended.
#[tokio::test]
async fn restarted_peer_is_reached_at_the_first_message() {
    let pool = new_pool(PeerLimits::default());
    let server = TestServer::start(PeerLimits::default()).await;
    let addr = server.addr;
    exchange(&pool, addr).await.expect("an answer");
    drop(server);
    let restarted = loop {
        // The listener of the ended server may take a moment to close.
        match TcpListener::bind(addr).await {
            Ok(free) => {
                drop(free);
                break TestServer::start_at(addr, PeerLimits::default()).await;
            }
            Err(_) => tokio::time::sleep(Duration::from_millis(5)).await,
        }
    };
    exchange(&pool, addr)
        .await
        .expect("an answer of the new server");
    assert_eq!(restarted.received.messages(), 1);
}

/// Guards against nodes that keep connecting to a departed peer.
#[tokio::test]
async fn unreachable_peer_is_not_retried_before_its_backoff_ends() {
    let closed = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let addr = closed.local_addr().expect("its address");
    drop(closed);
    let limits = PeerLimits {
        backoff_base: Duration::from_secs(60),
        backoff_cap: Duration::from_secs(60),
        ..PeerLimits::default()
    };
    let pool = new_pool(limits);
    let first = exchange(&pool, addr).await.expect_err("nobody listens");
    assert_eq!(first.step(), Step::Connect);
    assert_eq!(first.peer(), Some(addr.to_string().as_str()));
    assert!(first.to_string().contains("refused"), "{first}");
    let second = exchange(&pool, addr).await.expect_err("in backoff");
    assert!(
        second
            .to_string()
            .contains("in backoff after a failed attempt"),
        "{second}"
    );
}

/// Guards against calls that still fail over an old connection after a partition has
/// healed.
#[tokio::test]
async fn connection_is_replaced_after_a_timeout() {
    let unresponsive = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let addr = unresponsive.local_addr().expect("its address");
    let limit = Duration::from_millis(50);
    let pool = new_pool(PeerLimits::default());
    for _ in 0..2 {
        let err = pool.exchange(addr, &own_id(), &pull(), limit).await;
        let err = err.expect_err("no answer");
        assert_eq!(err.step(), Step::Exchange);
        assert_eq!(err.peer(), Some(addr.to_string().as_str()));
        let accepted = tokio::time::timeout(TIMEOUT, unresponsive.accept()).await;
        accepted.expect("in time").expect("a new connection");
    }
}

/// Guards against a change that is disseminated late because a kept connection delivers no
/// packets.
#[tokio::test]
async fn message_over_a_dead_connection_is_answered_over_a_new_one() {
    let server = TestServer::start(PeerLimits::default()).await;
    let firewall = StatefulFirewall::start(server.addr).await;
    let pool = new_pool(PeerLimits::default());
    exchange(&pool, firewall.addr).await.expect("an answer");
    tokio::time::sleep(Duration::from_millis(1_100)).await;
    firewall.drop_open_connections();
    let sent_at = Instant::now();
    exchange(&pool, firewall.addr).await.expect("an answer");
    assert!(
        sent_at.elapsed() < TIMEOUT / 2,
        "after {:?}",
        sent_at.elapsed()
    );
    exchange(&pool, firewall.addr).await.expect("an answer");
    assert_eq!(firewall.opened(), 2);
    assert_eq!(pool.address_count(), 1);
}

/// Guards against one connection per message if many messages are sent at once to a peer
/// that answers late.
#[tokio::test]
async fn messages_sent_together_share_a_new_connection() {
    let unresponsive = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let firewall = StatefulFirewall::start(unresponsive.local_addr().expect("its address")).await;
    let limit = Duration::from_millis(400);
    let pool = new_pool(PeerLimits::default());
    let (own_id, message) = (own_id(), pull());
    let sent = (0..8).map(|_| pool.exchange(firewall.addr, &own_id, &message, limit));
    let answers = futures::future::join_all(sent).await;
    assert!(answers.iter().all(Result::is_err));
    assert_eq!(firewall.opened(), 1);
}
