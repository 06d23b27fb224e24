//! A fleet of nodes as processes, with their targets and the platform inside
//! this process.
//!
//! Nodes are processes so that they can be killed and paused as they are in
//! the field, and so that their processor time can be told from that of the
//! callers and targets.

pub use self::layout::DOMAINS;
pub use self::layout::Layout;
pub use self::layout::Place;
pub use self::member::Member;
pub use self::settings::Listen;
pub use self::settings::text as node_settings;
pub use self::whole::Fleet;

mod layout;
mod member;
mod settings;
mod whole;
