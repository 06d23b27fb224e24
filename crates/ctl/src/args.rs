//! The command line flags.

use std::path::PathBuf;

xflags::xflags! {
    /// Validates and compares catalogues, queries nodes and drains them.
    ///
    /// Exit codes: 0 yes or done, 1 no, 2 error or incomplete answer.
    cmd sassafrasspoolctl {
        /// Print one JSON object instead of text.
        optional --json
        /// Admin addresses of the nodes to query, such as 10.0.0.7:9003,10.0.0.8:9003.
        optional --nodes list: String
        /// A file with one admin address per line; # begins a comment.
        optional --nodes-file file: PathBuf
        /// Timeout of each request to a node, in milliseconds (2000).
        optional --timeout-ms ms: u64

        /// Validate a catalogue and report every fault with its place.
        cmd check {
            /// The catalogue file.
            required file: PathBuf
        }

        /// List the entries that were added, changed or removed.
        cmd diff {
            /// The older catalogue file.
            required old: PathBuf
            /// The newer catalogue file.
            required new: PathBuf
        }

        /// Show the state of each node.
        cmd status {}

        /// Show which versions each node holds and which nodes lag.
        cmd versions {}

        /// Wait until a revision is in force on every node.
        cmd converged {
            /// The least revision to wait for.
            required --revision revision: u64
            /// Seconds to wait at most.
            required --within seconds: u64
            /// The stream: catalogue (default) or instances.
            optional --stream stream: String
        }

        /// Inspect routes.
        cmd route {
            /// Show where requests of a service, or for a path, are routed and why.
            cmd explain {
                /// The service.
                required service: String
                /// The path of a request.
                optional path: String
                /// The host named by the request.
                optional --host host: String
            }
        }

        /// Trace one request through the logs of nodes.
        cmd request {
            /// The request's id, as set by its caller.
            required id: String
            /// A log to read; may be repeated; - is standard input.
            repeated --log file: PathBuf
        }

        /// Print the nodes' audit trails.
        cmd audit {
            /// Omit records up to and including this number.
            optional --after number: u64
        }

        /// List and release quarantined requests.
        cmd quarantine {
            /// List the requests that each node withholds because they crash targets.
            cmd list {}

            /// Release requests; the node that accepts this forwards it to the others.
            cmd release {
                /// The content of the requests, as printed by `list`.
                required content: String
            }
        }

        /// Start a planned stop of a node.
        cmd drain {
            /// Its admin address, or its instance among --nodes.
            required node: String
        }
    }
}
