//! The line that the system keeps for each process and thread.

use std::fs;
use std::path::Path;
use std::time::Duration;

use miette::IntoDiagnostic;
use miette::miette;

/// Length of one tick of the system's accounting: a hundredth of a second on
/// every Linux.
const ACCOUNTING_TICK: Duration = Duration::from_millis(10);

/// Position of user time among the fields that follow the name.
const USER_TICKS: usize = 11;

/// What is used of a line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Stat {
    /// Name of the process or thread, at most 15 bytes.
    pub(super) name: String,
    /// Time on a processor, in user space and in the system.
    pub(super) cpu: Duration,
}

impl Stat {
    /// Reads the line of one process or thread.
    ///
    /// # Errors
    ///
    /// Fails if there is no such process, or its line has another form.
    pub(super) fn read(path: &Path) -> miette::Result<Stat> {
        let line = fs::read_to_string(path).into_diagnostic()?;
        Stat::parse(&line).ok_or_else(|| miette!("{} has another form", path.display()))
    }

    pub(super) fn parse(line: &str) -> Option<Stat> {
        // The name may itself contain spaces and brackets, so that fields are
        // counted from the last closing bracket.
        let open = line.find('(')?;
        let close = line.rfind(')')?;
        let mut fields = line.get(close + 1..)?.split_whitespace().skip(USER_TICKS);
        let user: u32 = fields.next()?.parse().ok()?;
        let system: u32 = fields.next()?.parse().ok()?;
        Some(Stat {
            name: line.get(open + 1..close)?.to_owned(),
            cpu: ACCOUNTING_TICK * (user + system),
        })
    }
}
