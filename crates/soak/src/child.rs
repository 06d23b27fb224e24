//! Child processes that are killed when their parent process ends.

use std::ffi::OsString;
use std::fs::File;
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::process::ExitStatus;
use std::process::Stdio;

use rustix::process::Signal;
use rustix::process::getppid;
use rustix::process::set_parent_process_death_signal;
use sassafrasspool_bench::load::process;
use tokio::process::Child as Process;
use tokio::process::Command;

/// The subcommand with which this program replaces itself by another one; see
/// [`exec_program`].
pub const UNDER_SUBCOMMAND: &str = "under";

/// A running program.
///
/// The process is killed when this value is dropped. The system kills it when its parent
/// process ends for any reason, so that a killed soak leaves no process behind.
#[derive(Debug)]
pub struct Child {
    process: Process,
}

impl Child {
    /// Starts a program from the directory of this one and appends its output to `log`.
    ///
    /// The system sends the parent death signal when the starting *thread* ends.
    /// Therefore call this only on the main thread.
    ///
    /// # Errors
    ///
    /// Fails if the program doesn't exist or can't be started.
    pub fn start(program: &str, args: &[OsString], log: &Path) -> std::io::Result<Child> {
        let own = std::env::current_exe()?;
        let path = process::sibling_program(program)?;
        let log = File::options().create(true).append(true).open(log)?;
        let process = Command::new(own)
            .arg(UNDER_SUBCOMMAND)
            .arg(std::process::id().to_string())
            .arg(path)
            .arg("--")
            .args(args)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .kill_on_drop(true)
            .spawn()?;
        Ok(Child { process })
    }

    /// Sends a signal to the process.
    ///
    /// # Errors
    ///
    /// Fails if the process has ended.
    pub fn signal(&self, signal: Signal) -> std::io::Result<()> {
        process::signal(&self.process, signal)
    }

    /// Kills the process and waits for its exit.
    ///
    /// # Errors
    ///
    /// Fails if it can't be killed.
    pub async fn kill(mut self) -> std::io::Result<()> {
        self.process.kill().await
    }

    /// Waits for the exit of the process.
    ///
    /// # Errors
    ///
    /// Fails if it can't be waited for.
    pub async fn wait(mut self) -> std::io::Result<ExitStatus> {
        self.process.wait().await
    }
}

/// Replaces this process by `program`, which the system kills when `parent` ends.
///
/// Returns only on failure.
pub fn exec_program(parent: u32, program: &Path, args: &[OsString]) -> std::io::Error {
    if let Err(err) = set_parent_process_death_signal(Some(Signal::KILL)) {
        return err.into();
    }
    // The parent may have ended before the death signal was requested.
    let now = getppid().map(|pid| pid.as_raw_nonzero().get());
    if now.and_then(|pid| u32::try_from(pid).ok()) != Some(parent) {
        return std::io::Error::other("the parent process has ended");
    }
    std::process::Command::new(program).args(args).exec()
}
