//! Versions, which combine the platform's revision with a digest of the content.

pub use self::digest::Digest;
pub use self::epoch::Epoch;
pub use self::identity::Version;
pub use self::revision::Revision;

mod digest;
mod epoch;
mod identity;
mod revision;
