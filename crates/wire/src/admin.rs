//! What a node's admin address answers, as JSON; the operators' client reads
//! the same types.

pub use self::audit::AuditPage;
pub use self::audit::AuditRecord;
pub use self::drain::DrainAnswer;
pub use self::explain::Explanation;
pub use self::held::Held;
pub use self::held::VersionInfo;
pub use self::quarantine::QuarantineInfo;
pub use self::quarantine::QuarantinedInfo;
pub use self::quarantine::ReleaseAnswer;
pub use self::snapshot::EndpointInfo;
pub use self::snapshot::RouteInfo;
pub use self::snapshot::ServiceInfo;
pub use self::snapshot::SnapshotInfo;
pub use self::stats::ControlStats;
pub use self::status::EvacuationInfo;
pub use self::status::Status;
pub use self::versions::Versions;

mod audit;
mod drain;
mod explain;
mod held;
mod quarantine;
mod snapshot;
mod stats;
mod status;
mod versions;

/// `GET`: [`Status`].
pub const STATUS_PATH: &str = "/status";
/// `GET`: [`Versions`].
pub const VERSIONS_PATH: &str = "/versions";
/// `GET` with `service` or `path` or both: [`Explanation`].
pub const EXPLAIN_PATH: &str = "/routes/explain";
/// `GET`, with `after` to leave out what is known: [`AuditPage`].
pub const AUDIT_PATH: &str = "/audit";
/// `GET`: the metrics as text.
pub const METRICS_PATH: &str = "/metrics";
/// `GET`: [`SnapshotInfo`].
pub const SNAPSHOT_PATH: &str = "/snapshot";
/// `GET`: [`QuarantineInfo`].
pub const QUARANTINE_PATH: &str = "/quarantine";
/// `POST` with `content`: lets requests run again; [`ReleaseAnswer`].
pub const RELEASE_PATH: &str = "/quarantine/release";
/// `POST`: begins to drain; [`DrainAnswer`].
pub const DRAIN_PATH: &str = "/drain";
