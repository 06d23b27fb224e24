//! Processor time and memory of processes and threads, from `/proc`.

pub use self::process::ProcessUsage;
pub use self::threads::ThreadUsage;

mod process;
mod stat;
#[cfg(test)]
mod tests;
mod threads;
