//! Choosing endpoints: one by one, and over a fleet.

mod bench;
mod choice;
mod drawn;
mod fleet;
mod load;
