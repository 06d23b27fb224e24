//! The stand-ins over real connections.

mod ledger;
mod process;
mod support;
mod target;
