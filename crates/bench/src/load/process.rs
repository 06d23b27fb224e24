//! Helpers for child processes: signals and the path of a program.

use std::path::PathBuf;

use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;
use tokio::process::Child;

/// Signals a child whose exit hasn't been awaited, so that its id can't belong to
/// another process.
///
/// # Errors
///
/// Fails if the process has exited.
pub fn signal(child: &Child, signal: Signal) -> std::io::Result<()> {
    let pid = child.id().and_then(|id| i32::try_from(id).ok());
    let Some(pid) = pid.and_then(Pid::from_raw) else {
        return Err(std::io::Error::other("the process has exited"));
    };
    Ok(kill_process(pid, signal)?)
}

/// The path of a program in the directory of this one.
///
/// # Errors
///
/// Fails if it isn't there.
pub fn sibling_program(program: &str) -> std::io::Result<PathBuf> {
    let path = std::env::current_exe()?.with_file_name(program);
    match path.exists() {
        true => Ok(path),
        false => Err(std::io::Error::other(format!(
            "{} doesn't exist: build {program} with the same profile",
            path.display()
        ))),
    }
}
