//! The operators' client: validates and compares catalogues, queries nodes over
//! their admin addresses, releases quarantined requests and drains nodes.
//!
//! Every verb ends with a [`Verdict`], so that a script can distinguish "no"
//! from an error or an unreachable node. Each verb that queries all nodes lists
//! those that didn't answer.

pub use self::client::AdminClient;
pub use self::run::run;
pub use self::verdict::Verdict;

mod args;
mod audit;
mod catalogue;
mod check;
mod client;
mod converged;
mod diff;
mod drain;
mod explain;
mod fault_report;
mod nodes;
mod print;
mod quarantine;
mod request_trace;
mod run;
mod status;
mod verdict;
mod versions;
