//! `route explain`: where requests go, as each node sees it.

use std::fmt;

use form_urlencoded::Serializer;
use sassafrasspool_core::InstanceState;
use sassafrasspool_core::ServiceName;
use sassafrasspool_wire::admin::EXPLAIN_PATH;
use sassafrasspool_wire::admin::EndpointInfo;
use sassafrasspool_wire::admin::Explanation;
use serde::Serialize;

use crate::AdminClient;
use crate::Verdict;
use crate::nodes::Answers;
use crate::nodes::Nodes;
use crate::print::Finding;

/// Every node's explanation.
#[derive(Debug, Serialize)]
#[serde(transparent)]
pub(crate) struct Explanations(Answers<Explanation>);

/// What is to be explained.
#[derive(Debug)]
pub(crate) struct Asked<'a> {
    /// The service.
    pub(crate) service: ServiceName,
    /// The host that a request names.
    pub(crate) host: Option<&'a str>,
    /// The path of a request.
    pub(crate) path: Option<&'a str>,
}

impl Explanations {
    /// Asks every node.
    pub(crate) async fn ask(
        client: &AdminClient,
        nodes: &Nodes,
        asked: &Asked<'_>,
    ) -> Explanations {
        let query = query(asked);
        let answers = nodes.ask(|node| {
            let query = query.clone();
            async move { client.get(node, &query).await }
        });
        Explanations(answers.await)
    }
}

fn query(asked: &Asked<'_>) -> String {
    // Begun as a whole, it would count as a query that has a part already.
    let begun = format!("{EXPLAIN_PATH}?");
    let begins = begun.len();
    let mut query = Serializer::for_suffix(begun, begins);
    query.append_pair("service", asked.service.as_str());
    for (name, value) in [("host", asked.host), ("path", asked.path)] {
        if let Some(value) = value {
            query.append_pair(name, value);
        }
    }
    query.finish()
}

impl Finding for Explanations {
    fn verdict(&self) -> Verdict {
        self.0.verdict(Verdict::Yes)
    }
}

impl fmt::Display for Explanations {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for answer in &self.0.answered {
            writeln!(f, "{}  {}", answer.node, answer.said.reason)?;
            if let Some(route) = &answer.said.route {
                writeln!(
                    f,
                    "    route {} -> {}  kind {} (weight {})  {}  {}",
                    route.path,
                    route.service,
                    route.kind,
                    route.weight,
                    route.class,
                    if route.idempotent {
                        "idempotent"
                    } else {
                        "not idempotent"
                    },
                )?;
            }
            let endpoints = answer
                .said
                .service
                .iter()
                .flat_map(|found| &found.endpoints);
            endpoints
                .into_iter()
                .try_for_each(|found| endpoint(f, found))?;
        }
        self.0.fmt_unreachable(f)
    }
}

fn endpoint(f: &mut fmt::Formatter<'_>, found: &EndpointInfo) -> fmt::Result {
    let phase = found.phase;
    let phase = phase.map_or("not heard".to_owned(), |phase| phase.to_string());
    let listed = match found.listed {
        InstanceState::Live if found.evacuated => "live, evacuated",
        InstanceState::Live => "live",
        InstanceState::Leaving => "leaving",
    };
    writeln!(
        f,
        "    {}  {}  {}  slots {}  listed {listed}  phase {phase}",
        found.instance, found.domain, found.traffic, found.slots,
    )
}

#[cfg(test)]
mod tests;
