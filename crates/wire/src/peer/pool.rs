//! The few connections that a node keeps open to others.

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

/// How long a connection is trusted to carry messages after it was opened or carried an
/// answer.
const TRUSTED_FOR: Duration = Duration::from_secs(1);

/// The part of a message's limit after which it is sent over a fresh connection as well,
/// if the kept one isn't trusted. A change takes up to eight messages, one after the
/// other, to reach a fleet, and all of them may meet connections that fell silent.
const FRESH_AFTER_DIVISOR: u32 = 4;

/// Open connections by address, of which the least recently used go first.
///
/// # Invariants
///
/// At most `limits.open` addresses are held, with a connection or with the
/// time until which they are left alone.
#[derive(Debug)]
pub struct PeerPool {
    limits: PeerLimits,
    bytes: Arc<SocketBytes>,
    held: Mutex<Held>,
}

#[derive(Debug)]
struct Held {
    rng: SmallRng,
    uses: u64,
    slots: HashMap<SocketAddr, Slot>,
}

#[derive(Debug)]
struct Slot {
    used: u64,
    shared: Arc<AsyncMutex<Link>>,
}

/// What is held for one address.
#[derive(Debug)]
struct Link {
    open: Option<PeerConnection>,
    /// Counts the connections opened, so that a caller whose connection broke
    /// doesn't close the one that another caller has opened since.
    opened: u64,
    /// When the open connection was opened, or last carried an answer.
    alive_at: Instant,
    backoff: Backoff,
    closed_until: Option<Instant>,
}

/// A connection and its number in its link.
#[derive(Debug)]
struct Opened {
    connection: PeerConnection,
    number: u64,
    kept: Kept,
}

/// Whether a connection was open before, and how far it is trusted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kept {
    /// It was opened for this message.
    Fresh,
    /// It was opened or carried an answer within [`TRUSTED_FOR`].
    Trusted,
    /// It may have fallen silent unseen.
    Doubted,
}

impl Kept {
    fn since(alive_at: Instant) -> Kept {
        match alive_at.elapsed() < TRUSTED_FOR {
            true => Kept::Trusted,
            false => Kept::Doubted,
        }
    }
}

/// What is sent.
#[derive(Debug, Clone, Copy)]
struct Ask<'a> {
    from: &'a InstanceId,
    message: &'a PeerMessage,
    limit: Duration,
}

impl Ask<'_> {
    async fn over(self, connection: &PeerConnection) -> Result<PeerReply, ExchangeError> {
        connection
            .exchange(self.from, self.message, self.limit)
            .await
    }
}

impl PeerPool {
    /// A pool without connections; `seed` decides how waits vary.
    pub fn new(limits: PeerLimits, bytes: Arc<SocketBytes>, seed: u64) -> PeerPool {
        PeerPool {
            limits,
            bytes,
            held: Mutex::new(Held {
                rng: SmallRng::seed_from_u64(seed),
                uses: 0,
                slots: HashMap::new(),
            }),
        }
    }

    /// Sends a message over a connection that is open or is opened now.
    ///
    /// A kept connection may have ended unseen, as when its peer restarted, or fallen
    /// silent without a reset; the message is then sent once more over a fresh one.
    /// Nodes' messages are idempotent, so that it doesn't matter whether the first
    /// arrived.
    ///
    /// # Errors
    ///
    /// Fails, naming the step and the peer, if there is no answer within
    /// `limit` or the peer is left alone after it couldn't be reached.
    pub async fn exchange(
        &self,
        addr: SocketAddr,
        from: &InstanceId,
        message: &PeerMessage,
        limit: Duration,
    ) -> Result<PeerReply> {
        let ask = Ask {
            from,
            message,
            limit,
        };
        let tries = self.ask(addr, ask);
        match tokio::time::timeout(limit, tries).await {
            Ok(result) => result,
            Err(_) => {
                self.drop_silent(addr);
                let reason = format!("no answer within {} ms", limit.as_millis());
                Err(Error::new(Step::Exchange, reason).at_peer(addr))
            }
        }
    }

    /// How many addresses are held.
    pub fn held(&self) -> usize {
        self.lock().slots.len()
    }

    async fn ask(&self, addr: SocketAddr, ask: Ask<'_>) -> Result<PeerReply> {
        let link = self.link(addr);
        let opened = self.open(addr, &link).await?;
        let number = opened.number;
        let patience = match opened.kept {
            Kept::Doubted => ask.limit / FRESH_AFTER_DIVISOR,
            Kept::Fresh | Kept::Trusted => ask.limit,
        };
        let mut asked = pin!(exchange_over(&link, &opened, ask));
        match tokio::time::timeout(patience, asked.as_mut()).await {
            Ok(Ok(reply)) => Ok(reply),
            Ok(Err(failure)) if failure.closed && opened.kept != Kept::Fresh => {
                self.ask_afresh(addr, &link, number, ask).await
            }
            Ok(Err(failure)) => Err(failure.error),
            Err(_) => {
                // A peer that is only slow may still answer over the kept one.
                let late = asked.map_err(|failure| failure.error).boxed();
                let afresh = self.ask_afresh(addr, &link, number, ask).boxed();
                let (reply, _) = select_ok([late, afresh]).await?;
                Ok(reply)
            }
        }
    }

    /// Asks over a connection that is opened after connection number `number`.
    async fn ask_afresh(
        &self,
        addr: SocketAddr,
        link: &AsyncMutex<Link>,
        number: u64,
        ask: Ask<'_>,
    ) -> Result<PeerReply> {
        forget(link, number).await;
        let opened = self.open(addr, link).await?;
        let asked = exchange_over(link, &opened, ask).await;
        asked.map_err(|failure| failure.error)
    }

    /// What is held for `addr`, which counts as used now.
    fn link(&self, addr: SocketAddr) -> Arc<AsyncMutex<Link>> {
        let mut held = self.lock();
        held.uses += 1;
        let used = held.uses;
        if !held.slots.contains_key(&addr) && held.slots.len() >= self.limits.open {
            held.drop_oldest();
        }
        let slot = held.slots.entry(addr).or_insert_with(|| Slot {
            used,
            shared: Arc::new(AsyncMutex::new(Link {
                open: None,
                opened: 0,
                alive_at: Instant::now(),
                backoff: self.backoff(),
                closed_until: None,
            })),
        });
        slot.used = used;
        Arc::clone(&slot.shared)
    }

    async fn open(&self, addr: SocketAddr, link: &AsyncMutex<Link>) -> Result<Opened> {
        let mut link = link.lock().await;
        if let Some(connection) = link.open.clone() {
            return Ok(Opened {
                connection,
                number: link.opened,
                kept: Kept::since(link.alive_at),
            });
        }
        if link
            .closed_until
            .is_some_and(|until| Instant::now() < until)
        {
            let reason = "left alone for a moment after it couldn't be reached";
            return Err(Error::new(Step::Connect, reason).at_peer(addr));
        }
        let bytes = Arc::clone(&self.bytes);
        match PeerConnection::open(addr, bytes, self.limits.connect).await {
            Ok(connection) => {
                link.opened += 1;
                link.open = Some(connection.clone());
                link.alive_at = Instant::now();
                link.backoff = self.backoff();
                link.closed_until = None;
                Ok(Opened {
                    connection,
                    number: link.opened,
                    kept: Kept::Fresh,
                })
            }
            Err(err) => {
                let wait = link.backoff.fail(&mut self.lock().rng);
                link.closed_until = Some(Instant::now() + wait);
                Err(err)
            }
        }
    }

    /// Closes a connection on which no answer came in time.
    ///
    /// A partition leaves connections that look open but whose packets are
    /// sent again ever more seldom, up to minutes apart: over such a one,
    /// calls would go on to fail long after the partition has healed. The next
    /// call opens a fresh one.
    fn drop_silent(&self, addr: SocketAddr) {
        self.lock().slots.remove(&addr);
    }

    fn backoff(&self) -> Backoff {
        Backoff::new(self.limits.backoff_base, self.limits.backoff_cap)
    }

    fn lock(&self) -> MutexGuard<'_, Held> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Held {
    fn drop_oldest(&mut self) {
        let oldest = self.slots.iter().min_by_key(|(_, slot)| slot.used);
        if let Some(addr) = oldest.map(|(addr, _)| *addr) {
            self.slots.remove(&addr);
        }
    }
}

/// Asks over a connection of a link; one that fails is closed.
async fn exchange_over(
    link: &AsyncMutex<Link>,
    opened: &Opened,
    ask: Ask<'_>,
) -> Result<PeerReply, ExchangeError> {
    let result = ask.over(&opened.connection).await;
    match result {
        Ok(_) => note_answer(link, opened.number),
        Err(_) => forget(link, opened.number).await,
    }
    result
}

/// Notes that connection number `number` of a link carried an answer, which must not wait
/// for another that is being opened.
fn note_answer(link: &AsyncMutex<Link>, number: u64) {
    if let Ok(mut link) = link.try_lock()
        && link.opened == number
    {
        link.alive_at = Instant::now();
    }
}

/// Closes connection number `number` of a link, if it is still that one.
async fn forget(link: &AsyncMutex<Link>, number: u64) {
    let mut link = link.lock().await;
    if link.opened == number {
        link.open = None;
    }
}
