//! A child process of the demo.

use std::env;
use std::fs::File;
use std::path::Path;
use std::process::ExitStatus;
use std::process::Stdio;
use std::time::Duration;

use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;
use sassafrasspool_core::Error;
use sassafrasspool_core::Result;
use sassafrasspool_core::Step;
use tokio::process::Child;
use tokio::process::ChildStdin;
use tokio::process::Command;
use tokio::time::timeout;

use super::role::Role;

/// A running child. It is killed when this is dropped, and ends by itself
/// when its standard input closes, so that none outlives the demo.
#[derive(Debug)]
pub(super) struct Process {
    name: String,
    child: Child,
    // Held here since waiting for the child would close it, upon which the
    // child would end at once instead of finishing what it has.
    _lifeline: Option<ChildStdin>,
}

impl Process {
    /// Starts this program again in a role; what it says goes to `log`.
    ///
    /// # Errors
    ///
    /// Fails if the log can't be opened or the process can't be started.
    pub(super) fn start(name: &str, role: Role, settings: &Path, log: &Path) -> Result<Process> {
        let failed = |cause| error(name, "can't be started").with_cause(cause);
        let program = env::current_exe().map_err(failed)?;
        let log = File::options()
            .create(true)
            .append(true)
            .open(log)
            .map_err(failed)?;
        let mut child = Command::new(program)
            .arg(role.as_str())
            .arg("--settings")
            .arg(settings)
            .stdin(Stdio::piped())
            .stdout(log.try_clone().map_err(failed)?)
            .stderr(log)
            .kill_on_drop(true)
            .spawn()
            .map_err(failed)?;
        Ok(Process {
            name: name.to_owned(),
            _lifeline: child.stdin.take(),
            child,
        })
    }

    /// Asks it to stop, by SIGTERM.
    ///
    /// # Errors
    ///
    /// Fails if it has ended already.
    pub(super) fn terminate(&self) -> Result<()> {
        let pid = self.child.id().and_then(|id| i32::try_from(id).ok());
        let pid = pid.and_then(Pid::from_raw);
        let pid = pid.ok_or_else(|| error(&self.name, "has ended already"))?;
        kill_process(pid, Signal::TERM)
            .map_err(|cause| error(&self.name, "can't be told to stop").with_cause(cause))
    }

    /// Kills it, by SIGKILL, and waits until it is gone.
    ///
    /// # Errors
    ///
    /// Fails if it can't be killed.
    pub(super) async fn kill(&mut self) -> Result<()> {
        let killed = self.child.kill().await;
        killed.map_err(|cause| error(&self.name, "can't be killed").with_cause(cause))
    }

    /// Waits for its end.
    ///
    /// # Errors
    ///
    /// Fails if it hasn't ended within `bound`.
    pub(super) async fn ended(&mut self, bound: Duration) -> Result<ExitStatus> {
        let ended = timeout(bound, self.child.wait()).await;
        let ended = ended.map_err(|_| {
            let ms = bound.as_millis();
            error(&self.name, &format!("hasn't ended within {ms} ms"))
        })?;
        ended.map_err(|cause| error(&self.name, "can't be waited for").with_cause(cause))
    }

    /// Fails if it has ended without being asked to.
    ///
    /// # Errors
    ///
    /// Fails with its exit status.
    pub(super) fn still_runs(&mut self) -> Result<()> {
        match self.child.try_wait() {
            Ok(Some(status)) => Err(error(&self.name, &format!("ended with {status}"))),
            _ => Ok(()),
        }
    }
}

fn error(name: &str, reason: &str) -> Error {
    Error::new(Step::Check, reason).at_peer(name)
}
