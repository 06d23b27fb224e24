//! The demo program.

use std::process::ExitCode;

fn main() -> ExitCode {
    sassafrasspool_bench::demo::main()
}
