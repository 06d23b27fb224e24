//! The platform's settings file.

use std::net::SocketAddr;

use serde::Serialize;

/// Where the platform listens.
#[derive(Debug, Serialize)]
pub(super) struct PlatformFile {
    /// For readers.
    pub(super) listen: SocketAddr,
    /// For the operators' side.
    pub(super) admin: SocketAddr,
}
