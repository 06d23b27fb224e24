//! Parser of the `stat` file of a process or thread in `/proc`.

use std::fs;
use std::path::Path;
use std::time::Duration;

use miette::IntoDiagnostic;
use miette::miette;

/// Length of a clock tick, the unit of processor time in `stat`: a hundredth of
/// a second on every Linux.
const CLOCK_TICK: Duration = Duration::from_millis(10);

/// Index of the user time among the fields after the name.
const USER_TIME_INDEX: usize = 11;

/// The fields of a `stat` file that are used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Stat {
    /// Name of the process or thread, at most 15 bytes.
    pub(super) name: String,
    /// Processor time, in user space and in the kernel.
    pub(super) cpu: Duration,
}

impl Stat {
    /// Reads the `stat` file of a process or thread.
    ///
    /// # Errors
    ///
    /// Fails if there is no such process or the file can't be parsed.
    pub(super) fn read(path: &Path) -> miette::Result<Stat> {
        let line = fs::read_to_string(path).into_diagnostic()?;
        Stat::parse(&line).ok_or_else(|| miette!("{} can't be parsed", path.display()))
    }

    pub(super) fn parse(line: &str) -> Option<Stat> {
        // The name may itself contain spaces and brackets, so that the fields are
        // counted from the last closing bracket.
        let open = line.find('(')?;
        let close = line.rfind(')')?;
        let mut fields = line
            .get(close + 1..)?
            .split_whitespace()
            .skip(USER_TIME_INDEX);
        let user: u32 = fields.next()?.parse().ok()?;
        let system: u32 = fields.next()?.parse().ok()?;
        Some(Stat {
            name: line.get(open + 1..close)?.to_owned(),
            cpu: CLOCK_TICK * (user + system),
        })
    }
}
