use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use sassafrasspool_core::PeerReply;
use sassafrasspool_core::Result;
use sassafrasspool_core::Step;
use tokio::net::TcpListener;

use super::support::Firewall;
use super::support::Served;
use super::support::me;
use super::support::pull;
use crate::SocketBytes;
use crate::peer::PeerLimits;
use crate::peer::PeerPool;

const LIMIT: Duration = Duration::from_secs(5);

fn pool(limits: PeerLimits) -> PeerPool {
    PeerPool::new(limits, Arc::new(SocketBytes::default()), 1)
}

async fn ask(pool: &PeerPool, addr: SocketAddr) -> Result<PeerReply> {
    pool.exchange(addr, &me(), &pull(), LIMIT).await
}

#[tokio::test]
async fn connection_is_kept_and_its_bytes_are_counted() {
    let served = Served::start(PeerLimits::default()).await;
    let bytes = Arc::new(SocketBytes::default());
    let pool = PeerPool::new(PeerLimits::default(), Arc::clone(&bytes), 1);
    for _ in 0..3 {
        ask(&pool, served.addr).await.expect("an answer");
    }
    assert_eq!(served.seen.messages(), 3);
    assert_eq!(pool.held(), 1);
    assert_eq!(bytes.written(), served.bytes.read());
    assert_eq!(bytes.read(), served.bytes.written());
    assert!(bytes.written() > 0);
}

#[tokio::test]
async fn least_recently_used_connection_goes_first() {
    let limits = PeerLimits {
        open: 2,
        ..PeerLimits::default()
    };
    let pool = pool(limits);
    for _ in 0..5 {
        let served = Served::start(PeerLimits::default()).await;
        ask(&pool, served.addr).await.expect("an answer");
        assert!(pool.held() <= 2);
    }
}

/// Guards against a message that fails on a connection to a process that has ended.
#[tokio::test]
async fn restarted_peer_is_reached_at_once() {
    let pool = pool(PeerLimits::default());
    let served = Served::start(PeerLimits::default()).await;
    let addr = served.addr;
    ask(&pool, addr).await.expect("an answer");
    drop(served);
    let again = loop {
        // Its predecessor's listener may take a moment to close.
        match TcpListener::bind(addr).await {
            Ok(free) => {
                drop(free);
                break Served::start_at(addr, PeerLimits::default()).await;
            }
            Err(_) => tokio::time::sleep(Duration::from_millis(5)).await,
        }
    };
    ask(&pool, addr)
        .await
        .expect("an answer of the new process");
    assert_eq!(again.seen.messages(), 1);
}

/// Guards against nodes that keep connecting to a peer that is gone.
#[tokio::test]
async fn unreachable_peer_is_left_alone() {
    let closed = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let addr = closed.local_addr().expect("its address");
    drop(closed);
    let limits = PeerLimits {
        backoff_base: Duration::from_secs(60),
        backoff_cap: Duration::from_secs(60),
        ..PeerLimits::default()
    };
    let pool = pool(limits);
    let first = ask(&pool, addr).await.expect_err("nobody listens");
    assert_eq!(first.step(), Step::Connect);
    assert_eq!(first.peer(), Some(addr.to_string().as_str()));
    assert!(first.to_string().contains("refused"), "{first}");
    let second = ask(&pool, addr).await.expect_err("left alone");
    assert!(second.to_string().contains("left alone"), "{second}");
}

/// Guards against calls that go on failing over a connection after a partition has healed.
#[tokio::test]
async fn silent_peer_costs_a_call_and_its_connection() {
    let silent = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let addr = silent.local_addr().expect("its address");
    let limit = Duration::from_millis(50);
    let pool = pool(PeerLimits::default());
    for _ in 0..2 {
        let err = pool.exchange(addr, &me(), &pull(), limit).await;
        let err = err.expect_err("no answer");
        assert_eq!(err.step(), Step::Exchange);
        assert_eq!(err.peer(), Some(addr.to_string().as_str()));
        let accepted = tokio::time::timeout(LIMIT, silent.accept()).await;
        accepted.expect("in time").expect("a fresh connection");
    }
}

/// Guards against a change that spreads late because a kept connection fell silent.
#[tokio::test]
async fn message_over_a_silent_connection_is_answered_over_a_fresh_one() {
    let served = Served::start(PeerLimits::default()).await;
    let firewall = Firewall::start(served.addr).await;
    let pool = pool(PeerLimits::default());
    ask(&pool, firewall.addr).await.expect("an answer");
    tokio::time::sleep(Duration::from_millis(1_100)).await;
    firewall.forget_open();
    let asked = Instant::now();
    ask(&pool, firewall.addr).await.expect("an answer");
    assert!(asked.elapsed() < LIMIT / 2, "after {:?}", asked.elapsed());
    ask(&pool, firewall.addr).await.expect("an answer");
    assert_eq!(firewall.opened(), 2);
    assert_eq!(pool.held(), 1);
}

/// Guards against a connection for each of many messages to a peer that answers late.
#[tokio::test]
async fn messages_sent_together_share_a_connection_that_was_just_opened() {
    let silent = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let firewall = Firewall::start(silent.local_addr().expect("its address")).await;
    let limit = Duration::from_millis(400);
    let pool = pool(PeerLimits::default());
    let (me, message) = (me(), pull());
    let asked = (0..8).map(|_| pool.exchange(firewall.addr, &me, &message, limit));
    let answers = futures::future::join_all(asked).await;
    assert!(answers.iter().all(Result::is_err));
    assert_eq!(firewall.opened(), 1);
}
