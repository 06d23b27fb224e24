//! How callers reach the targets.

use std::time::Duration;

use super::client::Client;
use super::client::Exchange;
use super::entries::Entries;
use super::naive::Naive;
use super::request::Attempt;

/// Through the nodes, or through the naive version that they are compared to.
#[derive(Debug)]
pub enum Way {
    /// To one of the nodes, which routes it.
    Nodes(Entries),
    /// By the naive version, straight to a target.
    Naive(Naive),
}

impl Way {
    /// Sends one attempt and waits for its end, at most `patience`. `draw`
    /// makes the random choices.
    pub async fn exchange(
        &self,
        client: &Client,
        attempt: &Attempt,
        patience: Duration,
        draw: u64,
    ) -> Exchange {
        match self {
            Way::Nodes(entries) => {
                let addrs = entries.from_draw(draw);
                client.exchange(&addrs, attempt, patience).await
            }
            Way::Naive(naive) => naive.exchange(client, attempt, draw).await,
        }
    }
}
