//! The JSON types and paths of a node's admin address. The operators' client decodes
//! the same types.

pub use self::audit::AuditPage;
pub use self::audit::AuditRecord;
pub use self::drain::DrainAnswer;
pub use self::explain::Explanation;
pub use self::quarantine::QuarantineInfo;
pub use self::quarantine::QuarantinedInfo;
pub use self::quarantine::ReleaseAnswer;
pub use self::snapshot::EndpointInfo;
pub use self::snapshot::RouteInfo;
pub use self::snapshot::ServiceInfo;
pub use self::snapshot::SnapshotInfo;
pub use self::stats::ControlStats;
pub use self::status::EvacuationInfo;
pub use self::status::LinkInfo;
pub use self::status::Status;
pub use self::stream_versions::StreamVersions;
pub use self::stream_versions::VersionInfo;
pub use self::versions::Versions;

mod audit;
mod drain;
mod explain;
mod quarantine;
mod snapshot;
mod stats;
mod status;
mod stream_versions;
mod versions;

/// `GET`: [`Status`].
pub const STATUS_PATH: &str = "/status";
/// `GET`: [`Versions`].
pub const VERSIONS_PATH: &str = "/versions";
/// `GET` with `service` or `path` or both: [`Explanation`].
pub const EXPLAIN_PATH: &str = "/routes/explain";
/// `GET`, optionally with `after`, the number of the last record already read: [`AuditPage`].
pub const AUDIT_PATH: &str = "/audit";
/// `GET`: the metrics as text.
pub const METRICS_PATH: &str = "/metrics";
/// `GET`: [`SnapshotInfo`].
pub const SNAPSHOT_PATH: &str = "/snapshot";
/// `GET`: [`QuarantineInfo`].
pub const QUARANTINE_PATH: &str = "/quarantine";
/// `POST` with `content`: ends the quarantine of these requests; [`ReleaseAnswer`].
pub const RELEASE_PATH: &str = "/quarantine/release";
/// `POST`: starts draining; [`DrainAnswer`].
pub const DRAIN_PATH: &str = "/drain";
