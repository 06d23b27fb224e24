//! Running the client as an operator does.

use std::ffi::OsString;

use sassafrasspool_ctl::Verdict;

/// What one run printed and how it ended.
#[derive(Debug)]
pub(crate) struct Ran {
    pub(crate) out: String,
    pub(crate) err: String,
    pub(crate) verdict: Verdict,
}

/// Runs the client as an operator does.
pub(crate) fn ran(args: &[&str]) -> Ran {
    let args = args.iter().map(OsString::from).collect();
    let mut out = Vec::new();
    let mut err = Vec::new();
    let verdict = sassafrasspool_ctl::run(args, &mut out, &mut err).unwrap();
    Ran {
        out: String::from_utf8(out).unwrap(),
        err: String::from_utf8(err).unwrap(),
        verdict,
    }
}
