//! The command line.

use std::path::PathBuf;

xflags::xflags! {
    /// Stand-ins for what surrounds the system.
    cmd standin {
        /// A configuration source that can only be read and watched.
        cmd platform {
            /// The settings file (YAML).
            required --settings settings: PathBuf
            /// Print the bound addresses as a line of JSON.
            optional --print-addrs
        }
        /// A back end with few slots and a ledger.
        cmd target {
            /// The settings file (YAML).
            required --settings settings: PathBuf
            /// Print the bound addresses as a line of JSON.
            optional --print-addrs
        }
    }
}
