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

/// A running child process. It is killed when this is dropped, and exits when its
/// standard input closes, so that no child outlives the demo.
#[derive(Debug)]
pub(super) struct Process {
    name: String,
    child: Child,
    // Taken out of `child`, since waiting for the child would close it. The child
    // would then exit at once, without finishing its requests in flight.
    _stdin: Option<ChildStdin>,
}

impl Process {
    /// Starts this program in a role, with its output appended to `log`.
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
            _stdin: child.stdin.take(),
            child,
        })
    }

    /// Sends SIGTERM.
    ///
    /// # Errors
    ///
    /// Fails if it has exited or can't be signalled.
    pub(super) fn terminate(&self) -> Result<()> {
        let pid = self.child.id().and_then(|id| i32::try_from(id).ok());
        let pid = pid.and_then(Pid::from_raw);
        let pid = pid.ok_or_else(|| error(&self.name, "has already exited"))?;
        kill_process(pid, Signal::TERM)
            .map_err(|cause| error(&self.name, "can't be sent SIGTERM").with_cause(cause))
    }

    /// Sends SIGKILL and waits until it has exited.
    ///
    /// # Errors
    ///
    /// Fails if it can't be killed.
    pub(super) async fn kill(&mut self) -> Result<()> {
        let killed = self.child.kill().await;
        killed.map_err(|cause| error(&self.name, "can't be killed").with_cause(cause))
    }

    /// Waits until it exits.
    ///
    /// # Errors
    ///
    /// Fails if it hasn't exited within `max_wait`.
    pub(super) async fn wait_for_exit(&mut self, max_wait: Duration) -> Result<ExitStatus> {
        let status = timeout(max_wait, self.child.wait()).await;
        let status = status.map_err(|_| {
            let ms = max_wait.as_millis();
            error(&self.name, &format!("hasn't exited within {ms} ms"))
        })?;
        status.map_err(|cause| error(&self.name, "can't be waited for").with_cause(cause))
    }

    /// Checks that it hasn't exited.
    ///
    /// # Errors
    ///
    /// Fails with its exit status if it has.
    pub(super) fn check_running(&mut self) -> Result<()> {
        match self.child.try_wait() {
            Ok(Some(status)) => Err(error(&self.name, &format!("exited with {status}"))),
            _ => Ok(()),
        }
    }
}

fn error(name: &str, reason: &str) -> Error {
    Error::new(Step::Check, reason).at_peer(name)
}
