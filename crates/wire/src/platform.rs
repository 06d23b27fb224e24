//! Reading the platform: HTTP/1.1, one call a read, a bounded wait for
//! something newer.

pub use self::client::PlatformClient;
pub use self::get::Fetched;
pub use self::get::HttpGet;
pub use self::source::Source;
pub use self::source::SourceAsk;

mod answer;
mod client;
mod get;
mod source;
#[cfg(test)]
mod tests;

/// The largest value that the platform holds, in bytes.
pub const MAX_VALUE_BYTES: usize = 1024 * 1024;

/// The most instances that a list may have.
pub const MAX_INSTANCES: usize = 20_000;
