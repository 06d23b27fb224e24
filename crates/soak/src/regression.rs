//! Seeds that once failed and are run again as regression tests.

use miette::IntoDiagnostic;
use miette::WrapErr;
use miette::miette;

#[cfg(test)]
mod tests;

/// A seed that failed, and how to repeat its run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Regression {
    /// The seed.
    pub seed: u64,
    /// The number of instances in the failed run.
    pub nodes: usize,
    /// The duration of the calls in the failed run, in seconds.
    pub seconds: u64,
    /// The cause of the failure.
    pub cause: String,
}

/// Parses a list of seeds. Each line has a seed, the number of instances, the seconds and
/// the cause; empty lines and lines that begin with `#` are skipped.
///
/// # Errors
///
/// Names the first line that doesn't parse.
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
        .map(|(n, line)| parse_line(line).wrap_err_with(|| format!("line {}", n + 1)))
        .collect()
}

fn parse_line(line: &str) -> miette::Result<Regression> {
    let mut parts = line.splitn(4, ' ');
    let mut next = || parts.next().ok_or_else(|| miette!("too few fields"));
    Ok(Regression {
        seed: next()?.parse().into_diagnostic()?,
        nodes: next()?.parse().into_diagnostic()?,
        seconds: next()?.parse().into_diagnostic()?,
        cause: next()?.to_owned(),
    })
}
