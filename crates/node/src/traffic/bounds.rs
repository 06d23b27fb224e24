//! Bounds of the request path.

use std::time::Duration;

/// The largest body of a request, in bytes.
pub(super) const MAX_BODY_BYTES: u64 = 64 * 1024 * 1024;

/// The largest body that is held so that it can be sent again, in bytes.
pub(super) const MAX_REPLAY_BYTES: u64 = 64 * 1024;

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

/// Flow control window of one connection between nodes, in bytes.
pub(super) const CONNECTION_WINDOW: u32 = 4 * 1024 * 1024;

/// Requests that one connection carries at once.
pub(super) const MAX_STREAMS: u32 = 1_024;

/// How often a connection between nodes is probed while requests wait on it and
/// nothing comes. An instance that loses power, or a connection that goes
/// silent, takes all that is sent there until it is noticed: 30 payouts ran
/// into their timeout of 0.8 s while probes came every 5 s.
pub(super) const PING_INTERVAL: Duration = Duration::from_millis(300);

/// How long the answer to a probe may take before the connection is dropped. A
/// packet that is lost twice is there within 0.6 s.
pub(super) const PING_TIMEOUT: Duration = Duration::from_millis(700);

/// How long a stopping node still refuses before it closes idle connections.
/// A caller that just sent a request on one would otherwise see it closed and
/// couldn't tell that its request was not run.
pub(super) const LINGER: Duration = Duration::from_millis(200);
