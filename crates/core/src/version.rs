//! Versions: the platform's revision together with a digest of the content.

pub use self::digest::Digest;
pub use self::revision::Revision;
pub use self::whole::Version;

mod digest;
mod revision;
mod whole;
