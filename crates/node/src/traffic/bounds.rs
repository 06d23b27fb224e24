//! Limits and timeouts of the request path.

use std::time::Duration;

/// The largest body of a request, in bytes.
pub(super) const MAX_BODY_BYTES: u64 = 64 * 1024 * 1024;

/// The largest body that is buffered so that it can be sent again, in bytes. Uploads in
/// current use have 60 KB as a rule and 360 KB at most.
pub(super) const MAX_REPLAY_BYTES: u64 = 512 * 1024;

/// The most memory for all buffered bodies of a node, in bytes: a tenth of the memory of
/// the smallest instances. Bodies beyond it are streamed.
pub(super) const MAX_BUFFERED_BYTES: u64 = 16 * 1024 * 1024;

/// The most bytes of large answers that a node holds while they wait for its link: a tenth
/// of the memory of the smallest instances. Beyond it, answers are read as they are sent.
pub(super) const MAX_WAITING_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// The most bytes of one large answer that are held while it waits for the link. Most large
/// answers fit, so that the slots of their targets are free while they wait.
pub(super) const MAX_READ_AHEAD_BYTES: usize = 1024 * 1024;

/// The bytes of a head with its frames, as they are counted for the link.
pub(super) const HEAD_BYTES_ON_LINK: u64 = 256;

/// The largest head of an answer, in bytes.
pub(super) const MAX_HEAD_BYTES: usize = 32 * 1024;

/// The least buffer for the heads of a caller's connection, in bytes. The configuration may
/// raise the limit on heads up to this size while the connection is kept.
pub(super) const MIN_HEAD_BUFFER_BYTES: u32 = 64 * 1024;

/// The largest head of a request between nodes, in bytes: the largest limit of a
/// configuration, the headers that nodes add, and what HTTP/2 adds for each header.
pub(super) const MAX_PEER_HEAD_BYTES: u32 = 1024 * 1024 + 16 * 1024;

/// How often the time limits of an idle connection are compared with those in force.
pub(super) const LIMITS_CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// The most nodes that a chain of calls may pass, counted from the outermost caller.
pub(super) const MAX_HOPS: u32 = 24;

/// Timeout for opening a connection: a hundred times a round trip. An instance without
/// power doesn't answer at all, and a request that waits for it could be sent to another
/// instance.
pub(super) const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// How long an idle connection to the target is kept. Targets commonly close idle
/// connections after five seconds, and a request sent at that moment has an unknown
/// outcome.
pub(super) const MAX_TARGET_IDLE_TIME: Duration = Duration::from_secs(4);

/// How long an answer may wait for further bytes of its source before it is aborted,
/// however far away the deadline of its request is.
pub(super) const STALL_TIMEOUT: Duration = Duration::from_secs(30);

/// The least time for the body of an answer whose head arrived shortly before the deadline of
/// its request.
pub(super) const MIN_BODY_TIME: Duration = Duration::from_millis(100);

/// The largest answer whose size isn't stated, in bytes. A faulty target may add bytes to its
/// answer without end.
pub(super) const MAX_UNSIZED_ANSWER_BYTES: u64 = 256 * 1024 * 1024;

/// Flow control window of one stream between nodes, in bytes.
pub(super) const STREAM_WINDOW_BYTES: u32 = 256 * 1024;

/// Bytes of a request's body that another node may send before the request is admitted
/// here, and the most that are in flight at any time after that.
///
/// A body that is sent at once uses the network link of a target that may have no capacity.
/// This delays lookups, and delays answers to probes for so long that connections are
/// dropped. With a round trip of 1 ms the window allows 8 MB a second.
pub(super) const UPLOAD_WINDOW_BYTES: u32 = 8 * 1024;

/// Flow control window of one connection between nodes, in bytes.
pub(super) const CONNECTION_WINDOW_BYTES: u32 = 4 * 1024 * 1024;

/// The most concurrent requests of one connection.
pub(super) const MAX_STREAMS: u32 = 1_024;

/// Interval of the probes of a connection between nodes while requests wait on it and
/// nothing is received. Until an instance without power or a silent connection is detected,
/// all requests sent there are lost.
pub(super) const PING_INTERVAL: Duration = Duration::from_millis(300);

/// How long bytes to another node may stay unacknowledged before the connection is dropped.
/// A packet that is lost twice arrives within 0.6 s.
pub(super) const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout for the answer to a probe, after which the connection is dropped. If a node is
/// short of processor time, its kernel still acknowledges the probe, and its requests would
/// be lost with the connection.
pub(super) const PING_TIMEOUT: Duration = Duration::from_secs(2);

/// How long nothing may be received on a connection between nodes while requests wait on it,
/// before further requests use another connection. A probe is answered in that time. It costs
/// one more connection if the peer is only short of processor time or a packet was lost.
pub(super) const SILENCE_TIMEOUT: Duration = Duration::from_millis(450);

/// The age below which a connection between nodes isn't replaced for its silence. If a new
/// connection is silent as well, the peer is short of processor time or unreachable, and
/// further connections would only add to its work.
pub(super) const MIN_REPLACED_AGE: Duration = Duration::from_secs(2);

/// How long a stopping node still refuses requests before it closes idle connections.
/// Otherwise a caller that has just sent a request would find its connection closed, and
/// couldn't infer that the request wasn't run.
pub(super) const CLOSE_DELAY: Duration = Duration::from_millis(200);
