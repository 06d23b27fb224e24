//! A naive proxy as the baseline for the nodes.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::client::Client;
use super::client::Exchange;
use super::ending::Ending;
use super::request::Attempt;

/// A proxy without the nodes' mechanisms: it picks uniformly among the targets of the
/// path, has no admission control and no owner of a request key, and retries on any
/// failure.
#[derive(Debug)]
pub struct NaiveProxy {
    /// The targets of each path.
    pub targets: HashMap<&'static str, Vec<SocketAddr>>,
    /// Attempts in all, the first one included.
    pub max_attempts: u32,
    /// Timeout of each attempt.
    pub attempt_timeout: Duration,
}

impl NaiveProxy {
    /// Retries until there is an answer. After the last attempt it reports the
    /// request as not run, which may be wrong: a target may have run it.
    pub(super) async fn exchange(&self, client: &Client, attempt: &Attempt, draw: u64) -> Exchange {
        let mut rng = SmallRng::seed_from_u64(draw);
        let mut last = Exchange::not_sent();
        let Some(targets) = self.targets.get(attempt.path) else {
            return last;
        };
        for _ in 0..self.max_attempts {
            let target = targets[rng.random_range(0..targets.len())];
            last = client
                .exchange(&[target], attempt, self.attempt_timeout)
                .await;
            match last.ending {
                Ending::Answered | Ending::Wrong => return last,
                _ => {}
            }
        }
        last.ending = Ending::NotRun;
        last
    }
}
