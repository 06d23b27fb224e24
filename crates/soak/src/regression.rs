//! Seeds that ever failed, kept to be run again.

use miette::IntoDiagnostic;
use miette::WrapErr;
use miette::miette;

#[cfg(test)]
mod tests;

/// A seed that failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Regression {
    /// The seed.
    pub seed: u64,
    /// Instances that it failed with.
    pub nodes: usize,
    /// Seconds of calls that it failed with.
    pub seconds: u64,
    /// What it was.
    pub cause: String,
}

/// Reads the seeds of a text: one line each, with seed, instances, seconds and
/// cause; lines that begin with `#` are for people.
///
/// # Errors
///
/// Names the first line that isn't one.
///
/// # Example
///
/// ```
/// use sassafrasspool_soak::regression::parse;
///
/// let kept = parse("# seeds\n126 8 10 a request was closed unread\n").unwrap();
/// assert_eq!((kept[0].seed, kept[0].nodes), (126, 8));
/// ```
pub fn parse(text: &str) -> miette::Result<Vec<Regression>> {
    let lines = text.lines().enumerate();
    let lines = lines.filter(|(_, line)| !line.is_empty() && !line.starts_with('#'));
    lines
        .map(|(n, line)| read(line).wrap_err_with(|| format!("line {}", n + 1)))
        .collect()
}

fn read(line: &str) -> miette::Result<Regression> {
    let mut parts = line.splitn(4, ' ');
    let mut next = || parts.next().ok_or_else(|| miette!("has too few words"));
    Ok(Regression {
        seed: next()?.parse().into_diagnostic()?,
        nodes: next()?.parse().into_diagnostic()?,
        seconds: next()?.parse().into_diagnostic()?,
        cause: next()?.to_owned(),
    })
}
