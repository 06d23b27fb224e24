//! What all child processes need.

use std::path::PathBuf;

use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;
use tokio::process::Child;

/// Signals a child that wasn't waited for yet, so that its id can't have gone to
/// another process.
///
/// # Errors
///
/// Fails if the process has ended.
pub fn signal(child: &Child, signal: Signal) -> std::io::Result<()> {
    let pid = child.id().and_then(|id| i32::try_from(id).ok());
    let Some(pid) = pid.and_then(Pid::from_raw) else {
        return Err(std::io::Error::other("the process has ended"));
    };
    Ok(kill_process(pid, signal)?)
}

/// A program that was built beside this one.
///
/// # Errors
///
/// Fails if it isn't there.
pub fn beside(program: &str) -> std::io::Result<PathBuf> {
    let path = std::env::current_exe()?.with_file_name(program);
    match path.exists() {
        true => Ok(path),
        false => Err(std::io::Error::other(format!(
            "{} isn't there: build {program} with the same profile",
            path.display()
        ))),
    }
}
