//! Measurements of nodes that run as processes of their own: memory and total
//! processor time of the process.

pub use self::cost::ProcessCost;
pub use self::run::run;

mod cost;
mod node_processes;
mod run;
