//! Whole nodes over loopback: what is published comes into force, what is bad
//! doesn't, and a planned stop ends well.

mod admin;
mod apply;
mod common;
mod crashing;
mod herd;
mod hostile;
mod silence;
mod stop;
mod support;
