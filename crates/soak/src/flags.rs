//! The flags of the command line.

use std::ffi::OsString;
use std::path::PathBuf;

xflags::xflags! {
    /// A fault soak of the real programs.
    cmd soak {
        /// Injects faults into a fleet of processes and checks what callers and targets observed.
        cmd run {
            /// Seed of calls and faults; random if absent. It is printed.
            optional --seed seed: u64
            /// Repeats the schedule of a seed and keeps the logs.
            optional --replay seed: u64
            /// Number of seeds to run, one after another (1).
            optional --runs runs: u64
            /// Instances, each with a node and a target (8).
            optional --nodes nodes: usize
            /// Seconds of calls (10).
            optional --seconds seconds: u64
            /// Calls per second for each instance (50).
            optional --rate rate: f64
            /// Caller processes (2).
            optional --callers callers: usize
            /// Keep settings, logs and records after a run without a violation too.
            optional --keep-logs
        }
        /// Repeats the seeds that once failed. Each line of the file has a seed, the
        /// number of nodes, the seconds and the cause.
        cmd regressions {
            /// The file of seeds.
            required file: PathBuf
        }
        /// Makes calls; a run starts its caller processes with it.
        cmd call {
            /// The file that describes the job.
            required file: PathBuf
        }
        /// Replaces this process by another program that is killed when the parent ends;
        /// a run starts its processes with it.
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
