/*!
Runs a whole deployment on loopback and injects faults into it.

The platform is one process. Each worker is two: its target and its node.
Callers send requests throughout the run. The catalogue changes several times,
once to an invalid version. One node is drained; one is killed together with
its target. At the end the callers' records are compared with the targets'
ledgers, and the exit code tells whether every guarantee held.

The processes run this same program with another verb: nodes start no
processes themselves. Each child exits when the demo ends, however it ends.
*/

pub use self::deployment::Deployment;
pub use self::routes::bind_routes;

use std::process::ExitCode;

use sassafrasspool_core::Error;
use sassafrasspool_core::Result;
use sassafrasspool_core::Step;
use tokio::runtime::Runtime;
use tokio::time::timeout;

use self::flags::SassafrasspoolDemo;
use self::flags::SassafrasspoolDemoCmd;
use self::role::Role;
use self::scenario::Scenario;

mod callers;
mod changes;
mod deployment;
mod flags;
mod fleet;
mod member;
mod process;
mod publisher;
mod report;
mod results;
mod role;
mod routes;
mod scenario;
mod status_poller;

/// Runs the demo, or the child process that the arguments name.
pub fn main() -> ExitCode {
    let flags = SassafrasspoolDemo::from_env_or_exit();
    let exit_code = match flags.subcommand {
        SassafrasspoolDemoCmd::Run(args) => run_demo(&args),
        SassafrasspoolDemoCmd::Platform(args) => role::run(Role::Platform, &args.settings),
        SassafrasspoolDemoCmd::Target(args) => role::run(Role::Target, &args.settings),
        SassafrasspoolDemoCmd::Node(args) => role::run(Role::Node, &args.settings),
    };
    exit_code.unwrap_or_else(|err| {
        eprintln!("error: {err}");
        ExitCode::FAILURE
    })
}

fn run_demo(args: &flags::Run) -> Result<ExitCode> {
    let scenario = Scenario::load(args)?;
    let report = runtime()?.block_on(async {
        let run = timeout(scenario::MAX_DURATION, scenario.run());
        run.await.unwrap_or_else(|_| {
            let max_s = scenario::MAX_DURATION.as_secs();
            Err(Error::new(
                Step::Check,
                format!("the demo did not finish within {max_s} s"),
            ))
        })
    })?;
    print!("{report}");
    Ok(if report.passed() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

fn runtime() -> Result<Runtime> {
    Runtime::new().map_err(|cause| {
        Error::new(Step::Check, "the async runtime can't be started").with_cause(cause)
    })
}
