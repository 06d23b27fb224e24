//! `route explain`: how each node routes requests, and why.

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
use crate::print::VerbResult;

/// The explanations of all nodes.
#[derive(Debug, Serialize)]
#[serde(transparent)]
pub(crate) struct Explanations(Answers<Explanation>);

/// The requests whose routing is to be explained.
#[derive(Debug)]
pub(crate) struct ExplainParams<'a> {
    /// The service that the requests ask for.
    pub(crate) service: ServiceName,
    /// The host named by a request.
    pub(crate) host: Option<&'a str>,
    /// The path of a request.
    pub(crate) path: Option<&'a str>,
}

impl Explanations {
    /// Queries every node.
    pub(crate) async fn query(
        client: &AdminClient,
        nodes: &Nodes,
        params: &ExplainParams<'_>,
    ) -> Explanations {
        let path = explain_path(params);
        let answers = nodes.query_all(|node| {
            let path = path.clone();
            async move { client.get(node, &path).await }
        });
        Explanations(answers.await)
    }
}

/// The path of the admin address, with `params` as its query.
fn explain_path(params: &ExplainParams<'_>) -> String {
    // `Serializer::new` would take the text before the query for a first
    // parameter and begin the query with `&`.
    let prefix = format!("{EXPLAIN_PATH}?");
    let query_start = prefix.len();
    let mut query = Serializer::for_suffix(prefix, query_start);
    query.append_pair("service", params.service.as_str());
    for (name, value) in [("host", params.host), ("path", params.path)] {
        if let Some(value) = value {
            query.append_pair(name, value);
        }
    }
    query.finish()
}

impl VerbResult for Explanations {
    fn verdict(&self) -> Verdict {
        self.0.verdict(Verdict::Yes)
    }
}

impl fmt::Display for Explanations {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for answer in &self.0.answered {
            writeln!(f, "{}  {}", answer.node, answer.body.reason)?;
            if let Some(route) = &answer.body.route {
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
                .body
                .service
                .iter()
                .flat_map(|found| &found.endpoints);
            endpoints
                .into_iter()
                .try_for_each(|found| write_endpoint(f, found))?;
        }
        self.0.fmt_unreachable(f)
    }
}

fn write_endpoint(f: &mut fmt::Formatter<'_>, endpoint: &EndpointInfo) -> fmt::Result {
    let phase = endpoint.phase;
    let phase = phase.map_or("not heard".to_owned(), |phase| phase.to_string());
    let listed = match endpoint.listed {
        InstanceState::Live if endpoint.evacuated => "live, evacuated",
        InstanceState::Live => "live",
        InstanceState::Leaving => "leaving",
    };
    writeln!(
        f,
        "    {}  {}  {}  slots {}  listed {listed}  phase {phase}",
        endpoint.instance, endpoint.domain, endpoint.traffic, endpoint.slots,
    )
}

#[cfg(test)]
mod tests;
