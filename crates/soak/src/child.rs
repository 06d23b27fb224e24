//! Processes that end when the one that started them does.

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

/// The verb by which this program becomes another one; see [`become_program`].
pub const UNDER: &str = "under";

/// A running program.
///
/// It is killed when this is dropped, and by the system when the process that
/// started it ends in any way: a soak that is killed leaves nothing behind.
#[derive(Debug)]
pub struct Child {
    process: Process,
}

impl Child {
    /// Starts a program that lies beside this one, with its output in `log`.
    ///
    /// The system sends the death signal when the starting *thread* ends, so
    /// that this is called on the main thread alone.
    ///
    /// # Errors
    ///
    /// Fails if the program isn't there or can't be started.
    pub fn start(program: &str, args: &[OsString], log: &Path) -> std::io::Result<Child> {
        let own = std::env::current_exe()?;
        let path = process::beside(program)?;
        let log = File::options().create(true).append(true).open(log)?;
        let process = Command::new(own)
            .arg(UNDER)
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

    /// Sends a signal.
    ///
    /// # Errors
    ///
    /// Fails if the process has ended.
    pub fn signal(&self, signal: Signal) -> std::io::Result<()> {
        process::signal(&self.process, signal)
    }

    /// Kills it and waits for its end.
    ///
    /// # Errors
    ///
    /// Fails if it can't be killed.
    pub async fn kill(mut self) -> std::io::Result<()> {
        self.process.kill().await
    }

    /// Waits for its end.
    ///
    /// # Errors
    ///
    /// Fails if it can't be waited for.
    pub async fn wait(mut self) -> std::io::Result<ExitStatus> {
        self.process.wait().await
    }
}

/// Turns this process into `program`, which ends with `parent`.
///
/// Returns only if that fails.
pub fn become_program(parent: u32, program: &Path, args: &[OsString]) -> std::io::Error {
    if let Err(err) = set_parent_process_death_signal(Some(Signal::KILL)) {
        return err.into();
    }
    // The parent may have ended before the signal was asked for.
    let now = getppid().map(|pid| pid.as_raw_nonzero().get());
    if now.and_then(|pid| u32::try_from(pid).ok()) != Some(parent) {
        return std::io::Error::other("the parent has ended");
    }
    std::process::Command::new(program).args(args).exec()
}
