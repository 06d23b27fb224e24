//! The table at the end of a demo.

use std::fmt;
use std::time::Duration;

use super::deployment::Deployment;
use super::evidence::Evidence;
use super::scenario::Played;

/// How many broken promises are told in words.
const TOLD: usize = 10;

/// What a demo came to.
#[derive(Debug)]
pub(super) struct Report {
    name: String,
    nodes: u32,
    domains: usize,
    called: Duration,
    played: Played,
    evidence: Evidence,
    logs: Option<String>,
}

impl Report {
    pub(super) fn new(
        name: String,
        deployment: &Deployment,
        called: Duration,
        played: Played,
        evidence: Evidence,
    ) -> Report {
        let workers = deployment.services.iter();
        Report {
            name,
            nodes: workers.map(|service| service.workers).sum(),
            domains: deployment.domains.len(),
            called,
            played,
            evidence,
            logs: None,
        }
    }

    /// The same report, telling where the processes' logs are.
    pub(super) fn with_logs(self, logs: String) -> Report {
        Report {
            logs: Some(logs),
            ..self
        }
    }

    /// Whether every promise held.
    pub(super) fn held(&self) -> bool {
        self.evidence.held()
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
        let seconds = self.called.as_secs_f64();
        writeln!(
            f,
            "{name}: {nodes} nodes, {domains} failure domains, {seconds:.1} s of calls"
        )?;
        self.changes(f)?;
        self.costs(f)?;
        self.requests(f)?;
        self.promises(f)
    }
}

impl Report {
    fn changes(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Report {
            played, evidence, ..
        } = self;
        let summary = played.convergence.summary();
        row(f, "changes in force everywhere", played.changes)?;
        let bad = format!(
            "applied by {} of {} nodes, fetched and refused by {}",
            played.misled, played.judges, played.refused
        );
        row(f, "bad change", bad)?;
        let times = format!("p50 {:.0} ms, max {:.0} ms", summary.p50, summary.max);
        row(f, "convergence", times)?;
        row(f, "planned stops", evidence.stops)?;
        let back = format!("ready {} ms after its start", played.returned.as_millis());
        row(f, "killed node", back)
    }

    fn costs(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Evidence {
            control, platform, ..
        } = &self.evidence;
        let bytes = format!("{} ({} a second)", control.bytes, control.bytes_per_s);
        row(f, "control bytes a node", bytes)?;
        let reads = format!(
            "{} (at most {} in a second)",
            platform.reads, platform.reads_peak_per_s
        );
        row(f, "reads of the platform", reads)
    }

    fn requests(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let verdict = &self.evidence.verdict;
        row(f, "requests sent", verdict.sent)?;
        row(f, "  answered", verdict.answered)?;
        row(f, "  refused, not run", verdict.refused_not_run)?;
        row(f, "  unknown", verdict.unknown)?;
        for (reason, count) in &self.evidence.reasons {
            row(f, &format!("    {reason}"), count)?;
        }
        row(f, "  failed by the target", verdict.failed)?;
        row(f, "  met no node", verdict.not_sent)?;
        row(f, "lost", verdict.lost)?;
        row(f, "cut", verdict.cut)?;
        row(f, "doubled", verdict.doubled)?;
        row(f, "refused but run", verdict.false_refusals)
    }

    fn promises(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        row(f, "promises held", if self.held() { "yes" } else { "NO" })?;
        let violations = &self.evidence.violations;
        for violation in violations.iter().take(TOLD) {
            writeln!(f, "  {violation}")?;
        }
        if violations.len() > TOLD {
            writeln!(f, "  and {} more", violations.len() - TOLD)?;
        }
        for fault in &self.evidence.faults {
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
