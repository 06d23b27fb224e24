//! Benchmarks and fault injection for the node code over loopback.
//!
//! Each verb of the command line is a module with its options and a `run`
//! function. Each run prints one JSON object on standard output, so that a
//! script can compare runs. The other modules are shared by the verbs, such as
//! generated catalogues, load generation, summaries of samples and the output.

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
