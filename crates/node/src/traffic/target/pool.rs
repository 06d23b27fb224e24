//! The connections to the target, never more than it was set to have.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Waker;
use std::time::Duration;
use std::time::Instant;

use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use metrics::counter;
use sassafrasspool_core::Error;
use sassafrasspool_core::Result;
use sassafrasspool_core::Step;
use sassafrasspool_wire::Counted;
use sassafrasspool_wire::SocketBytes;
use tokio::net::TcpStream;

use super::connection::Connection;
use crate::metrics::traffic;
use crate::reach::Reach;
use crate::traffic::bounds::CONNECT_TIMEOUT;
use crate::traffic::bounds::MAX_HEAD_BYTES;
use crate::traffic::bounds::MAX_IDLE;

/// Which traffic thread a connection was made on; using it there is cheapest.
pub(in crate::traffic) type WorkerIndex = usize;

/// How long a new connection stays open at a target that is there.
const STAYS_OPEN: Duration = Duration::from_millis(20);

/// The pool.
///
/// # Invariants
///
/// `open` counts the connections that exist, idle or in use, and is at most
/// `limit`. A connection in `idle` has no exchange on it.
#[derive(Debug)]
pub(in crate::traffic) struct Pool {
    addr: SocketAddr,
    limit: AtomicU32,
    /// Counts the connections that were ever opened.
    opened: AtomicU64,
    reach: Reach,
    held: Mutex<Held>,
}

#[derive(Debug, Default)]
struct Held {
    open: u32,
    idle: Vec<Connection>,
}

impl Pool {
    /// A pool of at most `limit` connections to `addr`; none is opened yet.
    pub(in crate::traffic) fn new(addr: SocketAddr, limit: u32) -> Arc<Pool> {
        Arc::new(Pool {
            addr,
            limit: AtomicU32::new(limit),
            opened: AtomicU64::new(0),
            reach: Reach::new("target"),
            held: Mutex::default(),
        })
    }

    /// Bounds it anew; connections beyond the bound go as they are given up.
    pub(in crate::traffic) fn resize(&self, limit: u32) {
        if self.limit() != limit {
            self.limit.store(limit, Ordering::Relaxed);
        }
    }

    /// How many connections were ever opened.
    pub(in crate::traffic) fn opened(&self) -> u64 {
        self.opened.load(Ordering::Relaxed)
    }

    fn limit(&self) -> u32 {
        self.limit.load(Ordering::Relaxed)
    }

    fn put(&self, mut conn: Connection) {
        conn.used = Instant::now();
        self.lock().idle.push(conn);
    }

    /// Closes what is idle.
    pub(in crate::traffic) fn clear(&self) {
        let idle = std::mem::take(&mut self.lock().idle);
        drop(idle);
    }

    fn pop_idle(&self, worker: WorkerIndex) -> Option<Connection> {
        let mut old = Vec::new();
        let mut held = self.lock();
        let now = Instant::now();
        // The newest come last, so that the oldest stand in front.
        while held.idle.first().is_some_and(|idle| is_old(idle, now)) {
            old.push(held.idle.remove(0));
        }
        let own = held.idle.iter().rposition(|idle| idle.worker() == worker);
        let found = match own {
            Some(at) => Some(held.idle.remove(at)),
            None if held.open < self.limit() => None,
            None => held.idle.pop(),
        };
        drop(held);
        // Closing takes the lock again to count down.
        drop(old);
        found
    }

    async fn connect(&self) -> io::Result<TcpStream> {
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(self.addr));
        let stream = stream
            .await
            .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()));
        match &stream {
            Ok(_) => self.reach.found(self.addr),
            Err(err) => self.reach.missed(self.addr, err),
        };
        stream
    }

    async fn open(self: &Arc<Pool>, worker: WorkerIndex) -> Result<Connection> {
        let open = Open::try_new(self, worker)?;
        let fail = |e| self.error("cannot connect").with_cause(e);
        let stream = self.connect().await.map_err(fail)?;
        stream.set_nodelay(true).map_err(fail)?;
        counter!(traffic::TARGET_CONNECTIONS).increment(1);
        self.opened.fetch_add(1, Ordering::Relaxed);
        let written = Arc::new(SocketBytes::default());
        let io = TokioIo::new(Counted::new(stream, Arc::clone(&written)));
        let handshake = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(io);
        let (sender, driver) = handshake
            .await
            .map_err(|e| self.error("cannot connect").with_cause(e))?;
        let mut conn = Connection::new(sender, driver, written, open);
        // The first poll makes it ready to take a request.
        conn.drive(&mut Context::from_waker(Waker::noop()));
        Ok(conn)
    }

    fn error(&self, message: &str) -> Error {
        Error::new(Step::Connect, message).at_peer(self.addr)
    }

    fn lock(&self) -> MutexGuard<'_, Held> {
        // Nothing can panic halfway through a change of what is held.
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// An idle connection, or a new one.
///
/// # Errors
///
/// Fails if no connection may or can be opened; nothing was sent then.
pub(in crate::traffic) async fn take(pool: &Arc<Pool>, worker: WorkerIndex) -> Result<Connection> {
    while let Some(mut conn) = pool.pop_idle(worker) {
        // Sees whether the target has closed it meanwhile.
        conn.drive(&mut Context::from_waker(Waker::noop()));
        if conn.is_usable() {
            return Ok(conn);
        }
    }
    pool.open(worker).await
}

/// What broke as a connection to the target did.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::traffic) enum Lost {
    /// The connection alone, as far as can be told.
    Connection,
    /// The target, which refuses connections.
    Target,
    /// The target, or it had no room: it takes connections and closes them at once. So
    /// does whatever stands between, when there is no target behind it.
    Unclear,
}

/// Finds out what was lost by opening a connection, which is closed again: it counts as
/// none of the pool's, so that no request goes elsewhere for want of one, and a target that
/// has few to give isn't kept from giving them.
pub(in crate::traffic) async fn find_lost(pool: &Pool) -> Lost {
    let stream = match pool.connect().await {
        Ok(stream) => stream,
        Err(err) if err.kind() == io::ErrorKind::ConnectionRefused => return Lost::Target,
        // It doesn't answer, and may still run all that it has.
        Err(_) => return Lost::Connection,
    };
    let mut unasked = [0];
    match tokio::time::timeout(STAYS_OPEN, stream.peek(&mut unasked)).await {
        Ok(Ok(0) | Err(_)) => Lost::Unclear,
        _ => Lost::Connection,
    }
}

fn is_old(idle: &Connection, now: Instant) -> bool {
    now.duration_since(idle.used) > MAX_IDLE
}

/// One connection that counts as open.
#[derive(Debug)]
pub(super) struct Open {
    pool: Arc<Pool>,
    worker: WorkerIndex,
}

impl Open {
    fn try_new(pool: &Arc<Pool>, worker: WorkerIndex) -> Result<Open> {
        let mut held = pool.lock();
        if held.open >= pool.limit() {
            return Err(pool.error("all connections are in use"));
        }
        held.open += 1;
        // INVARIANT: The count was below the limit.
        let pool = Arc::clone(pool);
        Ok(Open { pool, worker })
    }

    /// The thread on which it was opened.
    pub(super) fn worker(&self) -> WorkerIndex {
        self.worker
    }

    /// The pool that it belongs to.
    fn pool(&self) -> Arc<Pool> {
        Arc::clone(&self.pool)
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.pool.lock().open -= 1;
    }
}

/// Gives a connection back whose exchange has ended on both sides.
pub(super) fn put_back(conn: Connection) {
    conn.open().pool().put(conn);
}
