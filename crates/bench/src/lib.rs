//! Measurements on the real node code over loopback.
//!
//! Each verb is a module with its options and one `run`; each run prints one
//! JSON object on standard output, so that runs can be compared by a script.
//! What the verbs share stands beside them: generated catalogues, summaries
//! of samples and the output.

pub mod calls;
pub mod chaos;
pub mod cli;
pub mod control_fleet;
pub mod core_cost;
pub mod demo;
pub mod fault;
pub mod fit;
pub mod generate;
pub mod load;
pub mod output;
pub mod overload;
pub mod processes;
pub mod slopes;
pub mod spread;
pub mod summary;
pub mod usage;
