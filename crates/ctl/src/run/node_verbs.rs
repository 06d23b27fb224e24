//! The verbs that send requests to nodes.

use std::io::Write;
use std::ops::RangeInclusive;
use std::time::Duration;

use sassafrasspool_core::Error;
use sassafrasspool_core::Result;
use sassafrasspool_core::ServiceName;
use sassafrasspool_core::Step;
use sassafrasspool_core::Stream;

use super::VerbOutcome;
use crate::AdminClient;
use crate::args::Converged;
use crate::args::QuarantineCmd;
use crate::args::RouteCmd;
use crate::args::Sassafrasspoolctl;
use crate::args::SassafrasspoolctlCmd;
use crate::audit::AuditTrail;
use crate::converged::Convergence;
use crate::converged::ConvergenceGoal;
use crate::drain;
use crate::drain::DrainResult;
use crate::explain::ExplainParams;
use crate::explain::Explanations;
use crate::nodes::Nodes;
use crate::print::print;
use crate::quarantine::Quarantines;
use crate::quarantine::ReleaseResult;
use crate::status::Statuses;
use crate::versions::FleetVersions;

/// The timeout of a request to a node without `--timeout-ms`, in milliseconds.
const DEFAULT_TIMEOUT_MS: u64 = 2_000;
/// The range of `--timeout-ms`, in milliseconds.
const TIMEOUT_RANGE_MS: RangeInclusive<u64> = 1..=60_000;
/// The range of `--within`, the time to wait for convergence, in seconds.
const WITHIN_RANGE_S: RangeInclusive<u64> = 1..=3_600;

/// Runs a verb that sends requests to nodes.
pub(super) async fn run(flags: &Sassafrasspoolctl, out: &mut dyn Write) -> VerbOutcome {
    let client = client(flags)?;
    let json = flags.json;
    if let SassafrasspoolctlCmd::Drain(given) = &flags.subcommand {
        let node = match given.node.parse() {
            Ok(node) => node,
            Err(_) => drain::find_node_of(&client, &nodes(flags)?, &given.node).await?,
        };
        return Ok(print(out, json, &DrainResult::begin(&client, node).await?));
    }
    let nodes = nodes(flags)?;
    Ok(match &flags.subcommand {
        SassafrasspoolctlCmd::Versions(_) => {
            print(out, json, &FleetVersions::query(&client, &nodes).await)
        }
        SassafrasspoolctlCmd::Converged(given) => {
            let goal = convergence_goal(given)?;
            let result = Convergence::wait(&client, &nodes, goal).await;
            print(out, json, &result)
        }
        SassafrasspoolctlCmd::Route(given) => {
            let RouteCmd::Explain(given) = &given.subcommand;
            let params = ExplainParams {
                service: ServiceName::new(&given.service)?,
                host: given.host.as_deref(),
                path: given.path.as_deref(),
            };
            let result = Explanations::query(&client, &nodes, &params).await;
            print(out, json, &result)
        }
        SassafrasspoolctlCmd::Quarantine(given) => match &given.subcommand {
            QuarantineCmd::List(_) => print(out, json, &Quarantines::query(&client, &nodes).await),
            QuarantineCmd::Release(given) => {
                let result = ReleaseResult::request(&client, &nodes, &given.content).await?;
                print(out, json, &result)
            }
        },
        SassafrasspoolctlCmd::Audit(given) => print(
            out,
            json,
            &AuditTrail::query(&client, &nodes, given.after).await,
        ),
        _ => print(out, json, &Statuses::query(&client, &nodes).await),
    })
}

fn client(flags: &Sassafrasspoolctl) -> Result<AdminClient> {
    let ms = flags.timeout_ms.unwrap_or(DEFAULT_TIMEOUT_MS);
    let ms = check_range("--timeout-ms", ms, TIMEOUT_RANGE_MS)?;
    Ok(AdminClient::new(Duration::from_millis(ms)))
}

fn nodes(flags: &Sassafrasspoolctl) -> Result<Nodes> {
    Nodes::from_flags(flags.nodes.as_deref(), flags.nodes_file.as_deref())
}

fn convergence_goal(given: &Converged) -> Result<ConvergenceGoal> {
    let name = given.stream.as_deref().unwrap_or("catalogue");
    let stream = Stream::ALL
        .into_iter()
        .find(|stream| stream.as_str() == name);
    let unknown = || {
        invalid(format!(
            "--stream must be catalogue or instances, is {name:?}"
        ))
    };
    Ok(ConvergenceGoal {
        stream: stream.ok_or_else(unknown)?,
        revision: check_range("--revision", given.revision, 1..=u64::MAX)?,
        timeout: Duration::from_secs(check_range("--within", given.within, WITHIN_RANGE_S)?),
    })
}

fn check_range(flag: &str, n: u64, range: RangeInclusive<u64>) -> Result<u64> {
    if range.contains(&n) {
        return Ok(n);
    }
    let (min, max) = range.into_inner();
    Err(invalid(format!("{flag} must be {min} to {max}, is {n}")))
}

fn invalid(reason: String) -> Error {
    Error::new(Step::Check, reason)
}
