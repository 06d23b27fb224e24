//! The platform's list of instances, which lags behind what is so.

pub use self::entry::Instance;
pub use self::life::TargetLife;
pub use self::state::InstanceState;

use crate::Document;

mod entry;
mod life;
mod state;

/// The platform's instance list under its version.
pub type InstanceList = Document<Instance>;
