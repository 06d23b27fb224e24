//! The command line.

use std::path::PathBuf;

xflags::xflags! {
    /// Simulated platform and target for tests and demos.
    cmd standin {
        /// Runs a configuration source that can only be read and watched.
        cmd platform {
            /// The settings file (YAML).
            required --settings settings: PathBuf
            /// Print the bound addresses as a line of JSON.
            optional --print-addrs
        }
        /// Runs a back end with few slots and a ledger of its requests.
        cmd target {
            /// The settings file (YAML).
            required --settings settings: PathBuf
            /// Print the bound addresses as a line of JSON.
            optional --print-addrs
        }
    }
}
