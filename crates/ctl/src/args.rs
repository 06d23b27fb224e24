//! The command line.

use std::path::PathBuf;

xflags::xflags! {
    /// Checks catalogues, asks nodes what they hold and drains them.
    ///
    /// Exit codes: 0 yes or done, 1 no, 2 no full answer.
    cmd sassafrasspoolctl {
        /// Print one JSON object instead of text.
        optional --json
        /// Admin addresses of the nodes to ask, such as 10.0.0.7:9003,10.0.0.8:9003.
        optional --nodes list: String
        /// A file with one admin address a line; # begins a comment.
        optional --nodes-file file: PathBuf
        /// Milliseconds that each node may take to answer (2000).
        optional --timeout-ms ms: u64

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

        /// Tell how each node is.
        cmd status {}

        /// Tell which versions each node holds and which nodes lag.
        cmd versions {}

        /// Wait until every node has a revision in force.
        cmd converged {
            /// The revision, or a newer one.
            required --revision revision: u64
            /// Seconds to wait at most.
            required --within seconds: u64
            /// Which stream: catalogue (default) or instances.
            optional --stream stream: String
        }

        /// Ask about routes.
        cmd route {
            /// Tell where requests of a service, or for a path, go and why.
            cmd explain {
                /// The service.
                required service: String
                /// The path of a request.
                optional path: String
                /// The host that the request names.
                optional --host host: String
            }
        }

        /// Tell the way of one request from the logs of nodes.
        cmd request {
            /// The request's id, as its caller gave it.
            required id: String
            /// A log to read, once for each; - is standard input.
            repeated --log file: PathBuf
        }

        /// Print the nodes' audit trails.
        cmd audit {
            /// Leave out records up to this number.
            optional --after number: u64
        }

        /// See and release requests that are kept from targets.
        cmd quarantine {
            /// Tell what each node keeps from targets, since they crash under it.
            cmd list {}

            /// Let requests run again; the node that is told tells the others.
            cmd release {
                /// What they ask for, as the list names it.
                required content: String
            }
        }

        /// Begin a planned stop of a node.
        cmd drain {
            /// Its admin address, or its instance among --nodes.
            required node: String
        }
    }
}
