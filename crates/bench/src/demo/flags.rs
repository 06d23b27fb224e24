//! The command line.

use std::path::PathBuf;

xflags::xflags! {
    /// Run a whole deployment on loopback and check its guarantees.
    cmd sassafrasspool-demo {
        /// Run the deployment that a directory describes.
        default cmd run {
            /// The directory with catalogue.yaml and deployment.yaml.
            required deployment: PathBuf
            /// Requests a second from all callers together (default 300).
            optional --rate rate: u32
            /// Seed of all random choices (default 1).
            optional --seed seed: u64
        }

        /// Run a child process of a demo: the platform.
        cmd platform {
            /// Its settings.
            required --settings file: PathBuf
        }

        /// Run a child process of a demo: a target.
        cmd target {
            /// Its settings.
            required --settings file: PathBuf
        }

        /// Run a child process of a demo: a node.
        cmd node {
            /// Its settings.
            required --settings file: PathBuf
        }
    }
}
