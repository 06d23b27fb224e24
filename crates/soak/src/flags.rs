//! The command line.

use std::ffi::OsString;
use std::path::PathBuf;

xflags::xflags! {
    /// A fault soak of the real programs.
    cmd soak {
        /// Hurts a fleet of processes for some seconds and judges what was seen.
        cmd run {
            /// Draws calls and faults; drawn itself if absent, and printed.
            optional --seed seed: u64
            /// Plays the schedule of a seed again and keeps the logs.
            optional --replay seed: u64
            /// How many seeds to run, one after the other (1).
            optional --runs runs: u64
            /// Instances, each with a node and a target (8).
            optional --nodes nodes: usize
            /// Seconds of calls (10).
            optional --seconds seconds: u64
            /// Calls a second for each instance (50).
            optional --rate rate: f64
            /// Processes that make calls (2).
            optional --callers callers: usize
            /// Keep settings, logs and records also if all went well.
            optional --keep-logs
        }
        /// Plays the seeds that ever failed, one line of a file each: seed, nodes
        /// and seconds, and what it was.
        cmd regressions {
            /// The file.
            required file: PathBuf
        }
        /// Makes calls; used by a run for its own processes.
        cmd call {
            /// What to do.
            required file: PathBuf
        }
        /// Becomes another program that ends with its parent; used by a run.
        cmd under {
            /// The parent's process id.
            required parent: u32
            /// The program.
            required program: PathBuf
            /// Its arguments, after two dashes.
            repeated args: OsString
        }
    }
}
