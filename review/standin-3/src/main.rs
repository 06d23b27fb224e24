//! Cases of the third review. Each starts the deployed program with stand-ins of the
//! platform, of targets and of consumers, and checks one rule from what these see.

mod caller;
mod cases;
mod http;
mod mesh;
mod names;
mod operator;
mod record;
mod store;
mod target;

use std::path::Path;
use std::process::ExitCode;

use crate::record::Record;

/// What a case found.
#[derive(Debug)]
pub enum Verdict {
    /// The rule was broken; the text says by what.
    Broken(String),
    /// The rule held.
    Held(String),
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, path] = args.as_slice() else {
        eprintln!("standin-3 CASE RECORD");
        return ExitCode::from(2);
    };
    // Without the disruption if TROUBLE is 0.
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = match Record::create(Path::new(path)) {
        Ok(record) => record,
        Err(err) => {
            eprintln!("{path}: {err}");
            return ExitCode::from(2);
        }
    };
    let found = match case.as_str() {
        "storm" => cases::storm::run(trouble, &record),
        "born" => cases::born::run(trouble, &record),
        "limits" => cases::limits::run(trouble, &record),
        "refused" => cases::refused::run(trouble, &record),
        "truncated" => cases::truncated::run(trouble, &record),
        "frozen" => cases::frozen::run(trouble, &record),
        "chunks" => cases::chunks::run(trouble, &record),
        "foreign" => cases::foreign::run(trouble, &record),
        _ => Err(std::io::Error::other("no such case")),
    };
    let (text, code) = match found {
        Ok(Verdict::Broken(text)) => (format!("broken: {text}"), 1),
        Ok(Verdict::Held(text)) => (format!("held: {text}"), 0),
        Err(err) => (format!("not run: {err}"), 2),
    };
    record.line(&text);
    println!("{text}");
    ExitCode::from(code)
}
