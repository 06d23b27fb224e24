//! The system that callers send their requests to.

use std::time::Duration;

use super::client::Client;
use super::client::Exchange;
use super::entry_nodes::EntryNodes;
use super::naive_proxy::NaiveProxy;
use super::request::Attempt;

/// The system under test: the nodes, or the naive proxy as their baseline.
#[derive(Debug)]
pub enum SystemUnderTest {
    /// Requests go to one of the nodes, which routes them.
    Nodes(EntryNodes),
    /// Requests go through the naive proxy, straight to a target.
    Naive(NaiveProxy),
}

impl SystemUnderTest {
    /// Sends one attempt and waits for its end, at most `timeout`; the naive proxy has
    /// its own timeout. `draw` seeds the random choices.
    pub async fn exchange(
        &self,
        client: &Client,
        attempt: &Attempt,
        timeout: Duration,
        draw: u64,
    ) -> Exchange {
        match self {
            SystemUnderTest::Nodes(entries) => {
                let addrs = entries.rotated_by(draw);
                client.exchange(&addrs, attempt, timeout).await
            }
            SystemUnderTest::Naive(naive) => naive.exchange(client, attempt, draw).await,
        }
    }
}
