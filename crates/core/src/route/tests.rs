//! Choosing endpoints: one by one, and over a fleet.

mod bench;
mod choice;
mod fleet;
