//! Pool of connections to other nodes.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use futures::FutureExt;
use futures::TryFutureExt;
use futures::future::select_ok;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use sassafrasspool_core::Error;
use sassafrasspool_core::InstanceId;
use sassafrasspool_core::PeerMessage;
use sassafrasspool_core::PeerReply;
use sassafrasspool_core::Result;
use sassafrasspool_core::Step;
use tokio::sync::Mutex as AsyncMutex;

use super::Backoff;
use super::ExchangeError;
use super::PeerConnection;
use super::PeerLimits;
use crate::SocketBytes;

/// How long a connection counts as working after it was opened or carried an answer.
const ACTIVE_FOR: Duration = Duration::from_secs(1);

/// Divisor of a message's timeout: after this part of it, a message sent over an idle
/// connection is sent over a new one as well. A change takes up to eight messages in
/// sequence to reach a fleet, and each of them may use a connection that lost its peer
/// without a reset.
const HEDGE_AFTER_DIVISOR: u32 = 4;

/// Open connections by address. When the pool is full, the least recently used address
/// is evicted.
///
/// # Invariants
///
/// The pool has at most `limits.open` addresses, each with a connection or with the
/// time until which no attempt to connect is made.
#[derive(Debug)]
pub struct PeerPool {
    limits: PeerLimits,
    bytes: Arc<SocketBytes>,
    state: Mutex<PoolState>,
}

#[derive(Debug)]
struct PoolState {
    rng: SmallRng,
    use_count: u64,
    slots: HashMap<SocketAddr, Slot>,
}

#[derive(Debug)]
struct Slot {
    last_use: u64,
    link: Arc<AsyncMutex<Link>>,
}

/// The connection to one address, or its backoff.
#[derive(Debug)]
struct Link {
    open: Option<PeerConnection>,
    /// Number of connections opened so far. A task whose connection broke closes only
    /// the connection with its number, not one that another task has opened since.
    opened: u64,
    /// When the open connection was opened or last carried an answer.
    active_at: Instant,
    backoff: Backoff,
    retry_at: Option<Instant>,
}

/// A connection with its number in its link.
#[derive(Debug)]
struct NumberedConnection {
    connection: PeerConnection,
    number: u64,
    age: ConnectionAge,
}

/// Whether a connection was open before, and whether it was active recently.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ConnectionAge {
    /// It was opened for this message.
    New,
    /// It was opened or carried an answer within [`ACTIVE_FOR`].
    Active,
    /// It was idle for longer, and its peer may be unreachable without a reset.
    Idle,
}

impl ConnectionAge {
    fn since(active_at: Instant) -> ConnectionAge {
        match active_at.elapsed() < ACTIVE_FOR {
            true => ConnectionAge::Active,
            false => ConnectionAge::Idle,
        }
    }
}

/// A message with its sender and timeout.
#[derive(Debug, Clone, Copy)]
struct OutgoingMessage<'a> {
    from: &'a InstanceId,
    message: &'a PeerMessage,
    limit: Duration,
}

impl OutgoingMessage<'_> {
    async fn send_over(self, connection: &PeerConnection) -> Result<PeerReply, ExchangeError> {
        connection
            .exchange(self.from, self.message, self.limit)
            .await
    }
}

impl PeerPool {
    /// An empty pool; `seed` seeds the jitter of the backoff.
    pub fn new(limits: PeerLimits, bytes: Arc<SocketBytes>, seed: u64) -> PeerPool {
        PeerPool {
            limits,
            bytes,
            state: Mutex::new(PoolState {
                rng: SmallRng::seed_from_u64(seed),
                use_count: 0,
                slots: HashMap::new(),
            }),
        }
    }

    /// Sends a message over the open connection, or over a new one.
    ///
    /// A kept connection may have ended unnoticed, for instance because its peer
    /// restarted, or may deliver no packets without a reset. The message is then sent
    /// once more over a new connection. Messages between nodes are idempotent, so that
    /// it makes no difference whether the first one arrived.
    ///
    /// # Errors
    ///
    /// Fails, naming the step and the peer, if no answer arrives within `limit` or if
    /// the backoff after a failed attempt to connect hasn't passed yet.
    pub async fn exchange(
        &self,
        addr: SocketAddr,
        from: &InstanceId,
        message: &PeerMessage,
        limit: Duration,
    ) -> Result<PeerReply> {
        let outgoing = OutgoingMessage {
            from,
            message,
            limit,
        };
        let sent = self.send(addr, outgoing);
        match tokio::time::timeout(limit, sent).await {
            Ok(result) => result,
            Err(_) => {
                self.remove(addr);
                let reason = format!("no answer within {} ms", limit.as_millis());
                Err(Error::new(Step::Exchange, reason).at_peer(addr))
            }
        }
    }

    /// The number of addresses in the pool.
    pub fn address_count(&self) -> usize {
        self.lock().slots.len()
    }

    async fn send(&self, addr: SocketAddr, outgoing: OutgoingMessage<'_>) -> Result<PeerReply> {
        let link = self.link(addr);
        let connection = self.connect(addr, &link).await?;
        let number = connection.number;
        let hedge_after = match connection.age {
            ConnectionAge::Idle => outgoing.limit / HEDGE_AFTER_DIVISOR,
            ConnectionAge::New | ConnectionAge::Active => outgoing.limit,
        };
        let mut sent = pin!(exchange_over(&link, &connection, outgoing));
        match tokio::time::timeout(hedge_after, sent.as_mut()).await {
            Ok(Ok(reply)) => Ok(reply),
            Ok(Err(failure))
                if failure.connection_closed && connection.age != ConnectionAge::New =>
            {
                self.send_over_new(addr, &link, number, outgoing).await
            }
            Ok(Err(failure)) => Err(failure.error),
            Err(_) => {
                // A slow peer may still answer over the kept connection.
                let over_kept = sent.map_err(|failure| failure.error).boxed();
                let over_new = self.send_over_new(addr, &link, number, outgoing).boxed();
                let (reply, _) = select_ok([over_kept, over_new]).await?;
                Ok(reply)
            }
        }
    }

    /// Closes connection number `number` and sends the message over a later one.
    async fn send_over_new(
        &self,
        addr: SocketAddr,
        link: &AsyncMutex<Link>,
        number: u64,
        outgoing: OutgoingMessage<'_>,
    ) -> Result<PeerReply> {
        close(link, number).await;
        let connection = self.connect(addr, link).await?;
        let sent = exchange_over(link, &connection, outgoing).await;
        sent.map_err(|failure| failure.error)
    }

    /// The link of `addr`, which becomes the most recently used.
    fn link(&self, addr: SocketAddr) -> Arc<AsyncMutex<Link>> {
        let mut state = self.lock();
        state.use_count += 1;
        let last_use = state.use_count;
        if !state.slots.contains_key(&addr) && state.slots.len() >= self.limits.max_outbound {
            state.evict_least_recently_used();
        }
        let slot = state.slots.entry(addr).or_insert_with(|| Slot {
            last_use,
            link: Arc::new(AsyncMutex::new(Link {
                open: None,
                opened: 0,
                active_at: Instant::now(),
                backoff: self.new_backoff(),
                retry_at: None,
            })),
        });
        slot.last_use = last_use;
        Arc::clone(&slot.link)
    }

    /// The open connection of a link, or a new one.
    async fn connect(
        &self,
        addr: SocketAddr,
        link: &AsyncMutex<Link>,
    ) -> Result<NumberedConnection> {
        let mut link = link.lock().await;
        if let Some(connection) = link.open.clone() {
            return Ok(NumberedConnection {
                connection,
                number: link.opened,
                age: ConnectionAge::since(link.active_at),
            });
        }
        if link.retry_at.is_some_and(|at| Instant::now() < at) {
            let reason = "in backoff after a failed attempt to connect";
            return Err(Error::new(Step::Connect, reason).at_peer(addr));
        }
        let bytes = Arc::clone(&self.bytes);
        match PeerConnection::open(addr, bytes, self.limits.connect_timeout).await {
            Ok(connection) => {
                link.opened += 1;
                link.open = Some(connection.clone());
                link.active_at = Instant::now();
                link.backoff = self.new_backoff();
                link.retry_at = None;
                Ok(NumberedConnection {
                    connection,
                    number: link.opened,
                    age: ConnectionAge::New,
                })
            }
            Err(err) => {
                let wait = link.backoff.record_failure(&mut self.lock().rng);
                link.retry_at = Some(Instant::now() + wait);
                Err(err)
            }
        }
    }

    /// Removes an address whose connection timed out.
    ///
    /// After a partition, a connection may look open while TCP retransmits its packets
    /// at growing intervals of up to minutes. Calls over it would still fail long after
    /// the partition has healed. The next call opens a new connection.
    fn remove(&self, addr: SocketAddr) {
        self.lock().slots.remove(&addr);
    }

    fn new_backoff(&self) -> Backoff {
        Backoff::new(self.limits.backoff_base, self.limits.backoff_cap)
    }

    fn lock(&self) -> MutexGuard<'_, PoolState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl PoolState {
    fn evict_least_recently_used(&mut self) {
        let oldest = self.slots.iter().min_by_key(|(_, slot)| slot.last_use);
        if let Some(addr) = oldest.map(|(addr, _)| *addr) {
            self.slots.remove(&addr);
        }
    }
}

/// Sends a message over a connection of a link and closes the connection on failure.
async fn exchange_over(
    link: &AsyncMutex<Link>,
    connection: &NumberedConnection,
    outgoing: OutgoingMessage<'_>,
) -> Result<PeerReply, ExchangeError> {
    let result = outgoing.send_over(&connection.connection).await;
    match result {
        Ok(_) => record_answer(link, connection.number),
        Err(_) => close(link, connection.number).await,
    }
    result
}

/// Records that connection number `number` of a link carried an answer. The answer must
/// not wait while another connection of the link is being opened.
fn record_answer(link: &AsyncMutex<Link>, number: u64) {
    if let Ok(mut link) = link.try_lock()
        && link.opened == number
    {
        link.active_at = Instant::now();
    }
}

/// Closes connection number `number` of a link, unless a later one has replaced it.
async fn close(link: &AsyncMutex<Link>, number: u64) {
    let mut link = link.lock().await;
    if link.opened == number {
        link.open = None;
    }
}
