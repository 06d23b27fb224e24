//! A node as a separate process, which can be killed and paused.

use std::path::Path;
use std::process::ExitStatus;
use std::process::Stdio;

use rustix::process::Signal;
use tokio::process::Child;
use tokio::process::Command;

use super::process::sibling_program;
use super::process::signal;

/// The node's program, expected in the directory of this one.
const PROGRAM: &str = "sassafrasspool-node";

/// A running node. It is killed when this is dropped.
#[derive(Debug)]
pub struct NodeProcess {
    child: Child,
}

impl NodeProcess {
    /// Starts a node with the settings in `file`. Its output is appended to `log`.
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
        let child = Command::new(sibling_program(PROGRAM)?)
            .arg("--settings")
            .arg(file)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .kill_on_drop(true)
            .spawn()?;
        Ok(NodeProcess { child })
    }

    /// Its process id; `None` once its exit was awaited.
    pub fn pid(&self) -> Option<u32> {
        self.child.id()
    }

    /// Kills it and waits until it has exited.
    ///
    /// # Errors
    ///
    /// Fails if it can't be killed.
    pub async fn kill(mut self) -> std::io::Result<()> {
        self.child.kill().await
    }

    /// Drains it by SIGTERM and waits until it has exited.
    ///
    /// # Errors
    ///
    /// Fails if it can't be signalled or waited for.
    pub async fn stop(mut self) -> std::io::Result<ExitStatus> {
        signal(&self.child, Signal::TERM)?;
        self.child.wait().await
    }

    /// Pauses its process by SIGSTOP.
    ///
    /// # Errors
    ///
    /// Fails if it can't be signalled.
    pub fn pause(&self) -> std::io::Result<()> {
        signal(&self.child, Signal::STOP)
    }

    /// Resumes its process by SIGCONT.
    ///
    /// # Errors
    ///
    /// Fails if it can't be signalled.
    pub fn resume(&self) -> std::io::Result<()> {
        signal(&self.child, Signal::CONT)
    }
}
