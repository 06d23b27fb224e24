//! The command line.

use std::path::PathBuf;

xflags::xflags! {
    /// A whole deployment on loopback, judged by what it promises.
    cmd sassafrasspool-demo {
        /// Run the deployment of a directory.
        default cmd run {
            /// The directory with catalogue.yaml and deployment.yaml.
            required deployment: PathBuf
            /// Requests a second from all callers (300).
            optional --rate rate: u32
            /// What all random choices come from (1).
            optional --seed seed: u64
        }

        /// Part of a demo: the platform.
        cmd platform {
            /// Its settings.
            required --settings file: PathBuf
        }

        /// Part of a demo: a target.
        cmd target {
            /// Its settings.
            required --settings file: PathBuf
        }

        /// Part of a demo: a node.
        cmd node {
            /// Its settings.
            required --settings file: PathBuf
        }
    }
}
