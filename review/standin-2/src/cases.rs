//! The cases.

use std::io;
use std::path::Path;
use std::sync::Arc;

use crate::Verdict;
use crate::record::Record;

mod slow_readers;

/// Plays a case.
pub fn play(case: &str, root: &Path, record: &Arc<Record>, trouble: bool) -> io::Result<Verdict> {
    match case {
        "slow-readers" => slow_readers::play(root, record, trouble),
        _ => Err(io::Error::other("unknown case")),
    }
}
