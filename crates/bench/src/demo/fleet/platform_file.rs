//! The platform's settings file.

use std::net::SocketAddr;

use serde::Serialize;

/// Where the platform listens.
#[derive(Debug, Serialize)]
pub(super) struct PlatformFile {
    /// For reads by nodes.
    pub(super) listen: SocketAddr,
    /// For publishing and statistics.
    pub(super) admin: SocketAddr,
}
