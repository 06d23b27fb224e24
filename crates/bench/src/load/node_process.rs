//! A node as a process of its own, which can be killed and paused.

use std::path::Path;
use std::path::PathBuf;
use std::process::ExitStatus;
use std::process::Stdio;

use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;
use tokio::process::Child;
use tokio::process::Command;

/// The node's program, which is built beside this one.
const PROGRAM: &str = "sassafrasspool-node";

/// A running node; killed when dropped.
#[derive(Debug)]
pub struct NodeProcess {
    child: Child,
}

impl NodeProcess {
    /// Starts a node on the settings in `file`, which logs to `log`.
    ///
    /// # Errors
    ///
    /// Fails if the process can't be started, such as when the program wasn't
    /// built with `cargo build -p sassafrasspool-node`.
    pub fn start(file: &Path, log: &Path) -> std::io::Result<NodeProcess> {
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(log)?;
        let child = Command::new(program()?)
            .arg("--settings")
            .arg(file)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .kill_on_drop(true)
            .spawn()?;
        Ok(NodeProcess { child })
    }

    /// Its process id, until it was waited for.
    pub fn pid(&self) -> Option<u32> {
        self.child.id()
    }

    /// Kills it and waits for its end.
    ///
    /// # Errors
    ///
    /// Fails if it can't be killed.
    pub async fn kill(mut self) -> std::io::Result<()> {
        self.child.kill().await
    }

    /// Asks it to drain and stop, and waits for its end.
    ///
    /// # Errors
    ///
    /// Fails if it can't be signalled or waited for.
    pub async fn stop(mut self) -> std::io::Result<ExitStatus> {
        self.signal(Signal::TERM)?;
        self.child.wait().await
    }

    /// Makes it stand still.
    ///
    /// # Errors
    ///
    /// Fails if it can't be signalled.
    pub fn pause(&self) -> std::io::Result<()> {
        self.signal(Signal::STOP)
    }

    /// Lets it go on.
    ///
    /// # Errors
    ///
    /// Fails if it can't be signalled.
    pub fn resume(&self) -> std::io::Result<()> {
        self.signal(Signal::CONT)
    }

    /// Signals the child. It wasn't waited for yet, so that its id can't have
    /// gone to another process.
    fn signal(&self, signal: Signal) -> std::io::Result<()> {
        let pid = self.child.id().and_then(|id| i32::try_from(id).ok());
        let Some(pid) = pid.and_then(Pid::from_raw) else {
            return Err(std::io::Error::other("the node has ended"));
        };
        Ok(kill_process(pid, signal)?)
    }
}

fn program() -> std::io::Result<PathBuf> {
    let path = std::env::current_exe()?.with_file_name(PROGRAM);
    match path.exists() {
        true => Ok(path),
        false => Err(std::io::Error::other(format!(
            "{} isn't there: build {PROGRAM} with the same profile",
            path.display()
        ))),
    }
}
