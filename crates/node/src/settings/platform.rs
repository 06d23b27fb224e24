//! The platform's read-only service.

use std::net::SocketAddr;

/// Where the platform is and how much of it the fleet may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlatformSettings {
    /// Its address.
    pub addr: SocketAddr,
    /// Reads a second that it answers to all readers together.
    pub reads_per_s: u32,
    /// The share of those that the whole fleet may use, in percent.
    pub share_percent: u32,
}
