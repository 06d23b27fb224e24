//! A fleet of nodes in this process for measurements of the control plane: the
//! real node code, a platform and one shared target, all on loopback.
//!
//! One process can run hundreds of nodes this way. The nodes have a runtime
//! with named threads of its own, so that their processor time can be measured
//! apart from that of the stand-ins.
//!
//! The instance list may have more instances than there are nodes. Instances
//! without a node have control port 0, so that nodes don't use them as peers.
//! They only bring lists and snapshots to the requested size.

pub use self::fleet::ControlFleet;
pub use self::member::Member;
pub use self::observation::Observation;
pub use self::options::FleetOptions;
pub use self::options::Tuning;
pub use self::publisher::Publisher;
pub(crate) use self::settings::CommonSettings;
pub use self::watcher::Watcher;

pub(crate) mod addrs;
mod fleet;
mod member;
mod observation;
mod options;
mod publisher;
mod settings;
mod watcher;
