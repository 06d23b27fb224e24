//! Entry point of the benchmark's command line.

use sassafrasspool_bench::cli;

fn main() -> miette::Result<()> {
    cli::run()
}
