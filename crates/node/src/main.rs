//! The node's program.

fn main() {}
