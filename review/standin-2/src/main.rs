//! Plays one case of the review with the deployed program and stand-ins.
//!
//! `review-standin-2 CASE ROOT RECORD` exits with 1 if the rule was broken, 0 if it held, and 2
//! if the case couldn't run. With `TROUBLE=0` in the environment there is no disruption.

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;

use crate::record::Record;

mod cases;
mod consumer;
mod deployment;
mod http;
mod node;
mod poor_link;
mod record;
mod settings;
mod store;
mod wire;
mod worker;

/// What a case has found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, root, path] = &args[..] else {
        eprintln!("usage: review-standin-2 CASE ROOT RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = match Record::create(Path::new(path)) {
        Ok(record) => Arc::new(record),
        Err(err) => {
            eprintln!("{path}: {err}");
            return ExitCode::from(2);
        }
    };
    record.note(&format!("case {case}, disruption: {trouble}"));
    match cases::play(case, Path::new(root), &record, trouble) {
        Ok(Verdict::Held) => {
            record.note("the rule held");
            ExitCode::SUCCESS
        }
        Ok(Verdict::Broken) => {
            record.note("the rule was broken");
            ExitCode::from(1)
        }
        Err(err) => {
            record.note(&format!("the case couldn't run: {err}"));
            ExitCode::from(2)
        }
    }
}
