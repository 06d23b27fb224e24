//! The connections to the local target, limited by the settings.

use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
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
use sassafrasspool_wire::LineEndings;
use sassafrasspool_wire::ServerStream;
use sassafrasspool_wire::SocketBytes;
use tokio::net::TcpStream;

use super::connection::Connection;
use crate::dependency_monitor::DependencyMonitor;
use crate::metrics::traffic;
use crate::traffic::bounds::CONNECT_TIMEOUT;
use crate::traffic::bounds::MAX_HEAD_BYTES;
use crate::traffic::bounds::MAX_TARGET_IDLE_TIME;

/// The traffic thread on which a connection was opened; using it there is cheapest.
pub(in crate::traffic) type WorkerIndex = usize;

/// The number of a connection in the order of their openings, from 1.
pub(in crate::traffic) type ConnectionNumber = u64;

/// How long a new connection has to stay open to show that the target is up.
const OPEN_CHECK_TIMEOUT: Duration = Duration::from_millis(20);

/// The connections to the local target.
///
/// # Invariants
///
/// `open` has the connections that exist, idle or in use, at most `limit`. A connection in
/// `idle` has no exchange on it.
#[derive(Debug)]
pub(in crate::traffic) struct Pool {
    addr: SocketAddr,
    limit: AtomicU32,
    /// Connections opened since the pool was created.
    opened_total: AtomicU64,
    monitor: DependencyMonitor,
    /// The target refused the last connection, so that no process listens.
    refused: AtomicBool,
    /// The target accepted a connection after it had refused one.
    restarted: AtomicBool,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    open: BTreeSet<ConnectionNumber>,
    /// The number of the connection that was opened last, successfully or not.
    last: ConnectionNumber,
    idle: Vec<Connection>,
}

impl State {
    fn has_room(&self, limit: u32) -> bool {
        u32::try_from(self.open.len()).is_ok_and(|open| open < limit)
    }
}

impl Pool {
    /// A pool of at most `limit` connections to `addr`. No connection is opened yet.
    pub(in crate::traffic) fn new(addr: SocketAddr, limit: u32) -> Arc<Pool> {
        Arc::new(Pool {
            addr,
            limit: AtomicU32::new(limit),
            opened_total: AtomicU64::new(0),
            monitor: DependencyMonitor::new("target"),
            refused: AtomicBool::new(false),
            restarted: AtomicBool::new(false),
            state: Mutex::default(),
        })
    }

    /// Sets the limit; connections beyond it are not replaced when they close.
    pub(in crate::traffic) fn resize(&self, limit: u32) {
        if self.limit() != limit {
            self.limit.store(limit, Ordering::Relaxed);
        }
    }

    /// Connections opened since the pool was created.
    pub(in crate::traffic) fn opened_total(&self) -> u64 {
        self.opened_total.load(Ordering::Relaxed)
    }

    /// The connection that was opened last.
    pub(in crate::traffic) fn last_connection(&self) -> ConnectionNumber {
        self.lock().last
    }

    /// Whether the target still keeps a connection open that was opened no later than
    /// `last`.
    pub(in crate::traffic) fn has_open_up_to(&self, last: ConnectionNumber) -> bool {
        self.close_ended_idle();
        let state = self.lock();
        state.open.first().is_some_and(|oldest| *oldest <= last)
    }

    /// Closes the idle connections that the target has closed.
    fn close_ended_idle(&self) {
        let mut cx = Context::from_waker(Waker::noop());
        let mut state = self.lock();
        let is_ended = |conn: &mut Connection| {
            conn.drive(&mut cx);
            !conn.is_usable()
        };
        let ended: Vec<Connection> = state.idle.extract_if(.., is_ended).collect();
        drop(state);
        // Closing a connection locks the state.
        drop(ended);
    }

    fn limit(&self) -> u32 {
        self.limit.load(Ordering::Relaxed)
    }

    fn put_idle(&self, mut conn: Connection) {
        conn.last_used = Instant::now();
        self.lock().idle.push(conn);
    }

    /// Closes the idle connections.
    pub(in crate::traffic) fn close_idle(&self) {
        let idle = std::mem::take(&mut self.lock().idle);
        drop(idle);
    }

    fn pop_idle(&self, worker: WorkerIndex) -> Option<Connection> {
        let mut expired = Vec::new();
        let mut state = self.lock();
        let now = Instant::now();
        // Connections are ordered by their last use, the oldest first.
        while state.idle.first().is_some_and(|idle| is_expired(idle, now)) {
            expired.push(state.idle.remove(0));
        }
        let own = state.idle.iter().rposition(|idle| idle.worker() == worker);
        let found = match own {
            Some(at) => Some(state.idle.remove(at)),
            None if state.has_room(self.limit()) => None,
            None => state.idle.pop(),
        };
        drop(state);
        // Closing a connection locks the state to decrement the count.
        drop(expired);
        found
    }

    async fn connect(&self) -> io::Result<TcpStream> {
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(self.addr));
        let stream = stream
            .await
            .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()));
        match &stream {
            Ok(_) => self.monitor.record_success(self.addr),
            Err(err) => self.monitor.record_failure(self.addr, err),
        };
        self.record_refused(&stream);
        stream
    }

    /// Records whether the target refused a connection. Other errors don't show that its process
    /// has ended.
    fn record_refused(&self, stream: &io::Result<TcpStream>) {
        match stream {
            Ok(_) if self.refused.load(Ordering::Relaxed) => {
                self.restarted.store(true, Ordering::Relaxed);
                self.refused.store(false, Ordering::Relaxed);
            }
            Err(err) if err.kind() == io::ErrorKind::ConnectionRefused => {
                self.refused.store(true, Ordering::Relaxed);
            }
            Ok(_) | Err(_) => {}
        }
    }

    /// Whether the target accepts connections again after it had refused them; true once for
    /// each time.
    pub(in crate::traffic) fn take_restarted(&self) -> bool {
        self.restarted.load(Ordering::Relaxed) && self.restarted.swap(false, Ordering::Relaxed)
    }

    async fn open(self: &Arc<Pool>, worker: WorkerIndex) -> Result<Connection> {
        let open = OpenGuard::try_new(self, worker)?;
        let fail = |e| self.error("cannot connect").with_cause(e);
        let stream = self.connect().await.map_err(fail)?;
        stream.set_nodelay(true).map_err(fail)?;
        counter!(traffic::TARGET_CONNECTIONS).increment(1);
        self.opened_total.fetch_add(1, Ordering::Relaxed);
        let written = Arc::new(SocketBytes::default());
        let lines = LineEndings::default();
        let observers = (Arc::clone(&written), lines.clone());
        let io = TokioIo::new(ServerStream::new(stream, observers));
        let handshake = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(io);
        let (sender, driver) = handshake
            .await
            .map_err(|e| self.error("cannot connect").with_cause(e))?;
        let mut conn = Connection::new(sender, driver, written, lines, open);
        // The first poll makes the connection ready for a request.
        conn.drive(&mut Context::from_waker(Waker::noop()));
        Ok(conn)
    }

    fn error(&self, message: &str) -> Error {
        Error::new(Step::Connect, message).at_peer(self.addr)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        // No change of the state can panic halfway.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns an idle connection, or a new one.
///
/// # Errors
///
/// Fails if the limit is reached or no connection can be opened. Nothing is sent then.
pub(in crate::traffic) async fn acquire(
    pool: &Arc<Pool>,
    worker: WorkerIndex,
) -> Result<Connection> {
    while let Some(mut conn) = pool.pop_idle(worker) {
        // Detects whether the target has closed the connection in the meantime.
        conn.drive(&mut Context::from_waker(Waker::noop()));
        if conn.is_usable() {
            return Ok(conn);
        }
    }
    pool.open(worker).await
}

/// What failed when a connection to the target broke.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::traffic) enum BreakScope {
    /// Only the connection, as far as is known.
    Connection,
    /// The target, which refuses connections.
    Target,
    /// The target, or it has no capacity for the connection: connections are accepted and
    /// closed at once. An intermediary without a target behind it does the same.
    Unclear,
}

/// Determines what failed by opening a connection, which is closed again.
///
/// The connection doesn't count towards the limit of the pool, so that no request is sent
/// elsewhere because of a missing connection. It is closed at once, so that a target that
/// accepts few connections can still accept those of the pool.
pub(in crate::traffic) async fn diagnose_break(pool: &Pool) -> BreakScope {
    let stream = match pool.connect().await {
        Ok(stream) => stream,
        Err(err) if err.kind() == io::ErrorKind::ConnectionRefused => return BreakScope::Target,
        // The target doesn't answer, but may still run all of its requests.
        Err(_) => return BreakScope::Connection,
    };
    let mut buf = [0];
    match tokio::time::timeout(OPEN_CHECK_TIMEOUT, stream.peek(&mut buf)).await {
        Ok(Ok(0) | Err(_)) => BreakScope::Unclear,
        _ => BreakScope::Connection,
    }
}

fn is_expired(idle: &Connection, now: Instant) -> bool {
    now.duration_since(idle.last_used) > MAX_TARGET_IDLE_TIME
}

/// Counts one connection as open until it is dropped.
#[derive(Debug)]
pub(super) struct OpenGuard {
    pool: Arc<Pool>,
    worker: WorkerIndex,
    number: ConnectionNumber,
}

impl OpenGuard {
    pub(super) fn try_new(pool: &Arc<Pool>, worker: WorkerIndex) -> Result<OpenGuard> {
        let mut state = pool.lock();
        if !state.has_room(pool.limit()) {
            return Err(pool.error("all connections are in use"));
        }
        state.last += 1;
        let number = state.last;
        // INVARIANT: The count was below the limit.
        state.open.insert(number);
        let pool = Arc::clone(pool);
        Ok(OpenGuard {
            pool,
            worker,
            number,
        })
    }

    /// The traffic thread on which the connection was opened.
    pub(super) fn worker(&self) -> WorkerIndex {
        self.worker
    }

    /// The pool to which the connection belongs.
    fn pool(&self) -> Arc<Pool> {
        Arc::clone(&self.pool)
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.pool.lock().open.remove(&self.number);
    }
}

/// Returns a connection to its pool after the exchange on it has ended on both sides.
pub(super) fn return_to_pool(conn: Connection) {
    conn.open().pool().put_idle(conn);
}
