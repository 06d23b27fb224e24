//! Reading the platform: HTTP/1.1, one call a read, a bounded wait for
//! something newer.

pub use self::client::PlatformClient;

mod answer;
mod client;
#[cfg(test)]
mod tests;

/// The largest value that the platform holds, in bytes.
pub const MAX_VALUE_BYTES: usize = 1024 * 1024;

/// The most instances that a list may have.
pub const MAX_INSTANCES: usize = 20_000;
