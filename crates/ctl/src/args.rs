//! The command line.

use std::path::PathBuf;

xflags::xflags! {
    /// Checks catalogues, asks nodes what they hold and drains them.
    ///
    /// Exit codes: 0 yes or done, 1 no, 2 no full answer.
    cmd sassafrasspoolctl {
        /// Print one JSON object instead of text.
        optional --json

        /// Check a catalogue and tell every fault with its place.
        cmd check {
            /// The catalogue's file.
            required file: PathBuf
        }

        /// Tell which entries were added, changed or removed.
        cmd diff {
            /// The older catalogue's file.
            required old: PathBuf
            /// The newer catalogue's file.
            required new: PathBuf
        }
    }
}
