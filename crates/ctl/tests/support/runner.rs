//! Runs the client in this process, with arguments as an operator gives them.

use std::ffi::OsString;

use sassafrasspool_ctl::Verdict;

/// The output and the verdict of one run.
#[derive(Debug)]
pub(crate) struct RunOutput {
    pub(crate) out: String,
    pub(crate) err: String,
    pub(crate) verdict: Verdict,
}

/// Runs the client with `args` and captures its output.
pub(crate) fn run_client(args: &[&str]) -> RunOutput {
    let args = args.iter().map(OsString::from).collect();
    let mut out = Vec::new();
    let mut err = Vec::new();
    let verdict = sassafrasspool_ctl::run(args, &mut out, &mut err).unwrap();
    RunOutput {
        out: String::from_utf8(out).unwrap(),
        err: String::from_utf8(err).unwrap(),
        verdict,
    }
}
