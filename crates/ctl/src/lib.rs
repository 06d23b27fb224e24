//! The operators' client: checks and compares catalogues, and asks nodes what
//! they hold.
//!
//! Every verb ends with a [`Verdict`], so that a script can tell "no" from
//! "couldn't be asked". A verb never leaves out a node silently.

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
mod nodes;
mod print;
mod quarantine;
mod report;
mod run;
mod status;
mod verdict;
mod versions;
mod way;
