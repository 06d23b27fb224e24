//! A fleet of nodes in this process, of which only the control side works:
//! the real node code, a platform and one target for all on loopback.
//!
//! One process holds hundreds of nodes this way. Their runtime has threads of
//! its own, by whose name their processor time is told from the stand-ins'.
//!
//! Instances beyond the nodes are listed without a node: their control
//! address has port 0, so that nobody takes them for peers. They make lists
//! and snapshots as large as asked for and nothing else.

pub use self::fleet::ControlFleet;
pub use self::member::Member;
pub use self::options::FleetOptions;
pub use self::options::Tuning;
pub use self::publisher::Publisher;
pub use self::seen::Seen;
pub(crate) use self::settings::Common;
pub use self::watcher::Watcher;

pub(crate) mod addrs;
mod fleet;
mod member;
mod options;
mod publisher;
mod seen;
mod settings;
mod watcher;
