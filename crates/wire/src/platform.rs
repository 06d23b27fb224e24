//! Reading the platform over HTTP/1.1, with one call per read and a bounded long poll.

pub use self::client::PlatformClient;
pub use self::http_get::HttpGetClient;
pub use self::http_get::HttpResponse;
pub use self::source::Source;
pub use self::source::SourceRequest;

mod client;
mod http_get;
mod response;
mod source;
#[cfg(test)]
mod tests;

/// The largest value on the platform, in bytes.
pub const MAX_VALUE_BYTES: usize = 1024 * 1024;

/// The most instances in a list.
pub const MAX_INSTANCES: usize = 20_000;
