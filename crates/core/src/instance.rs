//! The platform's list of instances, which lags behind their actual state.

pub use self::entry::Instance;
pub use self::generation::TargetGeneration;
pub use self::state::InstanceState;

use crate::Document;

mod entry;
mod generation;
mod state;

/// The platform's instance list under its version.
pub type InstanceList = Document<Instance>;
