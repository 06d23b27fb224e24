//! Command-line flags of the node.

use std::path::PathBuf;

xflags::xflags! {
    /// Runs the node beside one target instance.
    cmd sassafrasspool-node {
        /// The YAML file with the node's settings.
        required --settings settings: PathBuf
    }
}
