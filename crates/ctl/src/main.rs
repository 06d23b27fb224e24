//! The `sassafrasspoolctl` program: the operators' client.

use std::env;
use std::io;
use std::process::ExitCode;

use sassafrasspool_ctl::Verdict;

fn main() -> ExitCode {
    let args: Vec<_> = env::args_os().skip(1).collect();
    let verdict = sassafrasspool_ctl::run(args, &mut io::stdout(), &mut io::stderr());
    ExitCode::from(verdict.map_or(Verdict::Unanswered.exit_code(), Verdict::exit_code))
}
