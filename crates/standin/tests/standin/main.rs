//! Tests the stand-ins over real connections.

mod ledger;
mod process;
mod reader;
mod support;
mod target;
