//! Tests of load balancing: single picks, and picks over a fleet.

mod choice;
mod fixture;
mod fleet;
mod load;
mod properties;
