//! The table that is printed at the end of a demo.

use std::fmt;
use std::time::Duration;

use super::deployment::Deployment;
use super::results::DemoResults;
use super::scenario::ScriptResults;

/// Most violations that are printed.
const MAX_VIOLATIONS_SHOWN: usize = 10;

/// The outcome of a demo.
#[derive(Debug)]
pub(super) struct Report {
    name: String,
    nodes: u32,
    domains: usize,
    load_duration: Duration,
    script_results: ScriptResults,
    results: DemoResults,
    logs: Option<String>,
}

impl Report {
    pub(super) fn new(
        name: String,
        deployment: &Deployment,
        load_duration: Duration,
        script_results: ScriptResults,
        results: DemoResults,
    ) -> Report {
        let workers = deployment.services.iter();
        Report {
            name,
            nodes: workers.map(|service| service.workers).sum(),
            domains: deployment.domains.len(),
            load_duration,
            script_results,
            results,
            logs: None,
        }
    }

    /// Adds the directory of the processes' logs.
    pub(super) fn with_logs(self, logs: String) -> Report {
        Report {
            logs: Some(logs),
            ..self
        }
    }

    /// Whether all guarantees held.
    pub(super) fn passed(&self) -> bool {
        self.results.passed()
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Report {
            name,
            nodes,
            domains,
            ..
        } = self;
        let seconds = self.load_duration.as_secs_f64();
        writeln!(
            f,
            "{name}: {nodes} nodes, {domains} failure domains, {seconds:.1} s of calls"
        )?;
        self.write_changes(f)?;
        self.write_costs(f)?;
        self.write_requests(f)?;
        self.write_guarantees(f)
    }
}

impl Report {
    fn write_changes(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Report {
            script_results,
            results,
            ..
        } = self;
        let summary = script_results.convergence.summary();
        row(
            f,
            "changes in force everywhere",
            script_results.applied_changes,
        )?;
        let bad = format!(
            "applied by {} of {} nodes, fetched and refused by {}",
            script_results.applied_bad, script_results.nodes_checked, script_results.refused_bad
        );
        row(f, "bad change", bad)?;
        let times = format!("p50 {:.0} ms, max {:.0} ms", summary.p50, summary.max);
        row(f, "convergence", times)?;
        row(f, "planned stops", results.stops)?;
        let back = format!(
            "ready {} ms after its start",
            script_results.restart_time.as_millis()
        );
        row(f, "killed node", back)
    }

    fn write_costs(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let DemoResults {
            control, platform, ..
        } = &self.results;
        let bytes = format!("{} ({} a second)", control.bytes, control.bytes_per_s);
        row(f, "control bytes a node", bytes)?;
        let reads = format!(
            "{} (at most {} in a second)",
            platform.reads, platform.reads_peak_per_s
        );
        row(f, "reads of the platform", reads)
    }

    fn write_requests(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let verdict = &self.results.verdict;
        row(f, "requests sent", verdict.sent)?;
        row(f, "  answered", verdict.answered)?;
        row(f, "  refused, not run", verdict.refused_not_run)?;
        row(f, "  unknown", verdict.unknown)?;
        for (reason, count) in &self.results.reasons {
            row(f, &format!("    {reason}"), count)?;
        }
        row(f, "  failed by the target", verdict.failed)?;
        row(f, "  met no node", verdict.not_sent)?;
        row(f, "lost", verdict.lost)?;
        row(f, "cut", verdict.cut)?;
        row(f, "doubled", verdict.doubled)?;
        row(f, "refused but run", verdict.false_refusals)
    }

    fn write_guarantees(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        row(f, "promises held", if self.passed() { "yes" } else { "NO" })?;
        let violations = &self.results.violations;
        for violation in violations.iter().take(MAX_VIOLATIONS_SHOWN) {
            writeln!(f, "  {violation}")?;
        }
        if violations.len() > MAX_VIOLATIONS_SHOWN {
            writeln!(f, "  and {} more", violations.len() - MAX_VIOLATIONS_SHOWN)?;
        }
        for fault in &self.results.faults {
            writeln!(f, "  {fault}")?;
        }
        match &self.logs {
            Some(logs) => row(f, "logs", logs),
            None => Ok(()),
        }
    }
}

fn row(f: &mut fmt::Formatter<'_>, name: &str, value: impl fmt::Display) -> fmt::Result {
    writeln!(f, "{name:<30} {value}")
}
