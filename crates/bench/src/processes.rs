//! Nodes as processes of their own, for what only a whole process shows:
//! its memory, and its processor time with everything that belongs to it.

pub use self::cost::ProcessCost;
pub use self::run::run;

mod cost;
mod fleet;
mod run;
