/*!
A whole deployment on loopback, with everything that a bad day brings.

One process for the platform, and for each worker one for its target and one
for its node. Callers send requests all the while; the catalogue changes, once
badly; one node is stopped as planned, one is killed together with its target.
In the end the callers' records are held against the targets' ledgers, and the
exit code tells whether every promise held.

The processes are this program again, with another verb: the nodes themselves
start none. Each child ends when the demo does, in whatever way that ends.
*/

pub use self::deployment::Deployment;
pub use self::routes::routes;

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
mod evidence;
mod flags;
mod fleet;
mod member;
mod platform;
mod process;
mod report;
mod role;
mod routes;
mod scenario;
mod watch;

/// Runs the demo, or the part of it that the arguments name.
pub fn main() -> ExitCode {
    let flags = SassafrasspoolDemo::from_env_or_exit();
    let ended = match flags.subcommand {
        SassafrasspoolDemoCmd::Run(given) => demo(&given),
        SassafrasspoolDemoCmd::Platform(given) => role::run(Role::Platform, &given.settings),
        SassafrasspoolDemoCmd::Target(given) => role::run(Role::Target, &given.settings),
        SassafrasspoolDemoCmd::Node(given) => role::run(Role::Node, &given.settings),
    };
    ended.unwrap_or_else(|err| {
        eprintln!("error: {err}");
        ExitCode::FAILURE
    })
}

fn demo(given: &flags::Run) -> Result<ExitCode> {
    let scenario = Scenario::load(given)?;
    let report = runtime()?.block_on(async {
        let run = timeout(scenario::BOUND, scenario.run());
        run.await.unwrap_or_else(|_| {
            let bound = scenario::BOUND.as_secs();
            Err(Error::new(
                Step::Check,
                format!("not done within {bound} s"),
            ))
        })
    })?;
    print!("{report}");
    Ok(if report.held() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

fn runtime() -> Result<Runtime> {
    Runtime::new().map_err(|cause| Error::new(Step::Check, "no runtime").with_cause(cause))
}
