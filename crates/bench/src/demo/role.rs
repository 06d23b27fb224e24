//! What a child process of the demo is.

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

/// The exit code of a child whose demo has gone.
const EXIT_ORPHAN: i32 = 9;

/// One of the parts of a demo.
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
    /// The verb that starts it.
    pub(super) const fn as_str(self) -> &'static str {
        match self {
            Role::Platform => "platform",
            Role::Target => "target",
            Role::Node => "node",
        }
    }
}

/// Runs a role to its end.
///
/// # Errors
///
/// Fails if its settings are bad or its ports can't be opened.
pub(super) fn run(role: Role, settings: &Path) -> Result<ExitCode> {
    end_with_demo();
    match role {
        Role::Platform => runtime()?.block_on(async {
            let platform = Platform::start(read_settings(settings)?, stopped_by_signal()?).await?;
            platform.stopped().await;
            Ok(ExitCode::SUCCESS)
        }),
        Role::Target => runtime()?.block_on(async {
            let target = Target::start(read_settings(settings)?, stopped_by_signal()?).await?;
            target.stopped().await;
            Ok(ExitCode::SUCCESS)
        }),
        Role::Node => Ok(sassafrasspool_node::program::run(settings)),
    }
}

/// Ends this process when its standard input closes: the demo holds the other
/// end. A demo that was killed can't end its children itself, and they would
/// go on for ever.
fn end_with_demo() {
    thread::spawn(|| {
        let _ = io::copy(&mut io::stdin().lock(), &mut io::sink());
        process::exit(EXIT_ORPHAN);
    });
}

fn stopped_by_signal() -> Result<CancellationToken> {
    let mut term = signal(SignalKind::terminate())
        .map_err(|cause| Error::new(Step::Check, "no signals").with_cause(cause))?;
    let cancel = CancellationToken::new();
    let stop = cancel.clone();
    tokio::spawn(async move {
        term.recv().await;
        stop.cancel();
    });
    Ok(cancel)
}
