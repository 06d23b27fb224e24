//! The review's cases and the stand-ins that they start.

use std::io;
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use crate::cases::Verdict;
use crate::record::Record;
use crate::worker::Behaviour;

mod caller;
mod cases;
mod deployment;
mod http;
mod names;
mod record;
mod store;
mod worker;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    match args.as_slice() {
        ["case", number, folder] => run_case(number, Path::new(folder)),
        ["target", addr, id, work_ms, parts] => {
            let number = |text: &str| text.parse::<u64>().expect("a number");
            let behaviour = Behaviour {
                work: Duration::from_millis(number(work_ms)),
                parts: number(parts) as u32,
            };
            let addr = addr.parse().expect("an address");
            match worker::run(addr, id, behaviour) {
                Ok(()) => ExitCode::SUCCESS,
                Err(_) => ExitCode::FAILURE,
            }
        }
        _ => ExitCode::from(2),
    }
}

/// Runs a case with its disruption, or without it if `TROUBLE` is 0. The exit code is 1 if
/// the rule was broken, 0 if it held and 2 if the case couldn't run.
fn run_case(number: &str, folder: &Path) -> ExitCode {
    let trouble = std::env::var("TROUBLE").map_or(true, |it| it != "0");
    let verdict = || -> io::Result<Verdict> {
        if !deployment::is_built() {
            return Err(io::Error::other("the deployed program isn't built"));
        }
        let record = Record::create(&folder.join("record.txt"))?;
        record.note(&format!("disruption: {trouble}"));
        let verdict = match number {
            "1" => cases::rejected_readers::run(trouble, &record),
            "2" => cases::younger_start::run(trouble, &record),
            "3" => cases::silent_target::run(trouble, &record),
            _ => Err(io::Error::other("no such case")),
        };
        match &verdict {
            Ok(verdict) => record.note(&verdict.text),
            Err(err) => record.note(&format!("couldn't run: {err}")),
        }
        verdict
    };
    match verdict() {
        Ok(verdict) => {
            println!("{}", verdict.text);
            ExitCode::from(u8::from(verdict.is_broken))
        }
        Err(err) => {
            eprintln!("couldn't run: {err}");
            ExitCode::from(2)
        }
    }
}
