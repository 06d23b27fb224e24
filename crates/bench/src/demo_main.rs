//! Start.

fn main() {}
