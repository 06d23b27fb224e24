//! The roles of the demo's child processes.

use std::io;
use std::path::Path;
use std::process;
use std::process::ExitCode;
use std::thread;

use sassafrasspool_core::Error;
use sassafrasspool_core::Result;
use sassafrasspool_core::Step;
use sassafrasspool_standin::Platform;
use sassafrasspool_standin::Target;
use sassafrasspool_standin::read_settings;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio_util::sync::CancellationToken;

use super::runtime;

/// Exit code of a child whose demo has ended.
const ORPHAN_EXIT_CODE: i32 = 9;

/// What a child process runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Role {
    /// The stand-in for the platform.
    Platform,
    /// The stand-in for a target.
    Target,
    /// A node.
    Node,
}

impl Role {
    /// The verb of the command line that starts it.
    pub(super) const fn as_str(self) -> &'static str {
        match self {
            Role::Platform => "platform",
            Role::Target => "target",
            Role::Node => "node",
        }
    }
}

/// Runs a role until it is stopped.
///
/// # Errors
///
/// Fails if its settings are invalid or its ports can't be opened.
pub(super) fn run(role: Role, settings: &Path) -> Result<ExitCode> {
    exit_when_stdin_closes();
    match role {
        Role::Platform => runtime()?.block_on(async {
            let platform = Platform::start(read_settings(settings)?, cancel_on_sigterm()?).await?;
            platform.stopped().await;
            Ok(ExitCode::SUCCESS)
        }),
        Role::Target => runtime()?.block_on(async {
            let target = Target::start(read_settings(settings)?, cancel_on_sigterm()?).await?;
            target.stopped().await;
            Ok(ExitCode::SUCCESS)
        }),
        Role::Node => Ok(sassafrasspool_node::program::run(settings)),
    }
}

/// Exits this process when its standard input closes, whose other end the demo
/// holds open. A demo that was killed can't stop its children, which would otherwise
/// run for ever.
fn exit_when_stdin_closes() {
    thread::spawn(|| {
        let _ = io::copy(&mut io::stdin().lock(), &mut io::sink());
        process::exit(ORPHAN_EXIT_CODE);
    });
}

fn cancel_on_sigterm() -> Result<CancellationToken> {
    let mut term = signal(SignalKind::terminate()).map_err(|cause| {
        Error::new(Step::Check, "no handler can be set for SIGTERM").with_cause(cause)
    })?;
    let cancel = CancellationToken::new();
    let stop = cancel.clone();
    tokio::spawn(async move {
        term.recv().await;
        stop.cancel();
    });
    Ok(cancel)
}
