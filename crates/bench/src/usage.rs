//! Processor time and memory of processes and threads, as the system's own
//! accounting has them.

pub use self::process::ProcessUsage;
pub use self::threads::ThreadUsage;

mod process;
mod stat;
#[cfg(test)]
mod tests;
mod threads;
