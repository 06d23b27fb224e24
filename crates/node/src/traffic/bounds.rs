//! Bounds of the request path.

use std::time::Duration;

/// The largest body of a request, in bytes.
pub(super) const MAX_BODY_BYTES: u64 = 64 * 1024 * 1024;

/// The largest body that is held so that it can be sent again, in bytes: the
/// uploads in use today have 60 KB as a rule and 360 KB at most.
pub(super) const MAX_REPLAY_BYTES: u64 = 512 * 1024;

/// The most that all held bodies of a node take, in bytes: a tenth of the memory
/// of the smallest instances. What comes beyond is passed on as it comes.
pub(super) const MAX_HELD_BYTES: u64 = 16 * 1024 * 1024;

/// The largest head of a request or an answer, in bytes.
pub(super) const MAX_HEAD_BYTES: usize = 32 * 1024;

/// The least buffer that the HTTP library takes, in bytes.
pub(super) const MIN_HEAD_BUFFER: usize = 8 * 1024;

/// Nodes that a call may pass, from the outermost caller on.
pub(super) const MAX_HOPS: u32 = 24;

/// How long opening a connection may take: a hundred times a round trip. An
/// instance without power doesn't answer at all, and who waits for it might go
/// elsewhere.
pub(super) const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// How long an unused connection to the target is kept. Targets commonly
/// close one after five seconds, and a request that meets that moment has an
/// unknown outcome.
pub(super) const MAX_IDLE: Duration = Duration::from_secs(4);

/// How long a body may stand still before it is given up.
pub(super) const STALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Flow control window of one stream between nodes, in bytes.
pub(super) const STREAM_WINDOW: u32 = 256 * 1024;

/// Bytes of a request's body that another node may send before the request is
/// admitted here, and that are under way at any time after that.
///
/// A body that is sent at once takes the link of a target that may have no room: it
/// keeps lookups on the way, and probes unanswered for so long that connections are
/// dropped. At 1 ms for a round trip the window lets 8 MB a second through.
pub(super) const UPLOAD_WINDOW: u32 = 8 * 1024;

/// Flow control window of one connection between nodes, in bytes.
pub(super) const CONNECTION_WINDOW: u32 = 4 * 1024 * 1024;

/// Requests that one connection carries at once.
pub(super) const MAX_STREAMS: u32 = 1_024;

/// How often a connection between nodes is probed while requests wait on it and
/// nothing comes. An instance that loses power, or a connection that goes
/// silent, takes all that is sent there until it is noticed.
pub(super) const PING_INTERVAL: Duration = Duration::from_millis(300);

/// How long bytes to another node may stay unacknowledged before the connection is
/// dropped. A packet that is lost twice is there within 0.6 s.
pub(super) const UNACKNOWLEDGED: Duration = Duration::from_secs(1);

/// How long the answer to a probe may take before the connection is dropped. The system
/// acknowledges the probe for a node that is short of processor, whose requests would be
/// lost with the connection.
pub(super) const PING_TIMEOUT: Duration = Duration::from_secs(2);

/// How long a stopping node still refuses before it closes idle connections.
/// A caller that just sent a request on one would otherwise see it closed and
/// couldn't tell that its request was not run.
pub(super) const LINGER: Duration = Duration::from_millis(200);
