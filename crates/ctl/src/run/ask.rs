//! The verbs that ask nodes.

use std::io::Write;
use std::ops::RangeInclusive;
use std::time::Duration;

use sassafrasspool_core::Error;
use sassafrasspool_core::Result;
use sassafrasspool_core::ServiceName;
use sassafrasspool_core::Step;
use sassafrasspool_core::Stream;

use super::Ended;
use crate::AdminClient;
use crate::args::Converged;
use crate::args::QuarantineCmd;
use crate::args::RouteCmd;
use crate::args::Sassafrasspoolctl;
use crate::args::SassafrasspoolctlCmd;
use crate::audit::Trail;
use crate::converged::Convergence;
use crate::converged::Wanted;
use crate::drain;
use crate::drain::Draining;
use crate::explain::Asked;
use crate::explain::Explanations;
use crate::nodes::Nodes;
use crate::print::print;
use crate::quarantine::Quarantines;
use crate::quarantine::Released;
use crate::status::Statuses;
use crate::versions::HeldVersions;

/// How long a node may take to answer unless told otherwise, in milliseconds.
const DEFAULT_TIMEOUT_MS: u64 = 2_000;
/// Bounds of that time, in milliseconds.
const TIMEOUT_MS: RangeInclusive<u64> = 1..=60_000;
/// Bounds of the time to wait for convergence, in seconds.
const WITHIN_S: RangeInclusive<u64> = 1..=3_600;

/// Asks nodes what the verb wants to know.
pub(super) async fn ask(flags: &Sassafrasspoolctl, out: &mut dyn Write) -> Ended {
    let client = client(flags)?;
    let json = flags.json;
    if let SassafrasspoolctlCmd::Drain(given) = &flags.subcommand {
        let node = match given.node.parse() {
            Ok(node) => node,
            Err(_) => drain::find(&client, &nodes(flags)?, &given.node).await?,
        };
        return Ok(print(out, json, &Draining::begin(&client, node).await?));
    }
    let nodes = nodes(flags)?;
    Ok(match &flags.subcommand {
        SassafrasspoolctlCmd::Versions(_) => {
            print(out, json, &HeldVersions::ask(&client, &nodes).await)
        }
        SassafrasspoolctlCmd::Converged(given) => {
            let wanted = wanted(given)?;
            let found = Convergence::wait(&client, &nodes, wanted).await;
            print(out, json, &found)
        }
        SassafrasspoolctlCmd::Route(given) => {
            let RouteCmd::Explain(given) = &given.subcommand;
            let asked = Asked {
                service: ServiceName::new(&given.service)?,
                host: given.host.as_deref(),
                path: given.path.as_deref(),
            };
            let found = Explanations::ask(&client, &nodes, &asked).await;
            print(out, json, &found)
        }
        SassafrasspoolctlCmd::Quarantine(given) => match &given.subcommand {
            QuarantineCmd::List(_) => print(out, json, &Quarantines::ask(&client, &nodes).await),
            QuarantineCmd::Release(given) => {
                let released = Released::order(&client, &nodes, &given.content).await?;
                print(out, json, &released)
            }
        },
        SassafrasspoolctlCmd::Audit(given) => {
            print(out, json, &Trail::ask(&client, &nodes, given.after).await)
        }
        _ => print(out, json, &Statuses::ask(&client, &nodes).await),
    })
}

fn client(flags: &Sassafrasspoolctl) -> Result<AdminClient> {
    let ms = flags.timeout_ms.unwrap_or(DEFAULT_TIMEOUT_MS);
    let ms = within("--timeout-ms", ms, TIMEOUT_MS)?;
    Ok(AdminClient::new(Duration::from_millis(ms)))
}

fn nodes(flags: &Sassafrasspoolctl) -> Result<Nodes> {
    Nodes::of(flags.nodes.as_deref(), flags.nodes_file.as_deref())
}

fn wanted(given: &Converged) -> Result<Wanted> {
    let name = given.stream.as_deref().unwrap_or("catalogue");
    let stream = Stream::ALL
        .into_iter()
        .find(|stream| stream.as_str() == name);
    let unknown = || {
        refused(format!(
            "--stream must be catalogue or instances, is {name:?}"
        ))
    };
    Ok(Wanted {
        stream: stream.ok_or_else(unknown)?,
        revision: within("--revision", given.revision, 1..=u64::MAX)?,
        within: Duration::from_secs(within("--within", given.within, WITHIN_S)?),
    })
}

fn within(flag: &str, n: u64, range: RangeInclusive<u64>) -> Result<u64> {
    if range.contains(&n) {
        return Ok(n);
    }
    let (least, most) = range.into_inner();
    Err(refused(format!("{flag} must be {least} to {most}, is {n}")))
}

fn refused(reason: String) -> Error {
    Error::new(Step::Check, reason)
}
