//! The naive version, which the real one is compared to.

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

/// A proxy as it is quickly written: an equal choice among all targets of the
/// path, no admission, no owner of a key, and another try on any failure.
#[derive(Debug)]
pub struct Naive {
    /// The targets of each path.
    pub targets: HashMap<&'static str, Vec<SocketAddr>>,
    /// Tries in all.
    pub tries: u32,
    /// How long it waits for each.
    pub try_timeout: Duration,
}

impl Naive {
    /// Tries until there is an answer; after the last try it calls the
    /// request not run, since it got no answer.
    pub(super) async fn exchange(&self, client: &Client, attempt: &Attempt, draw: u64) -> Exchange {
        let mut rng = SmallRng::seed_from_u64(draw);
        let mut last = Exchange::not_sent();
        let Some(targets) = self.targets.get(attempt.path) else {
            return last;
        };
        for _ in 0..self.tries {
            let target = targets[rng.random_range(0..targets.len())];
            last = client.exchange(&[target], attempt, self.try_timeout).await;
            match last.ending {
                Ending::Answered | Ending::Wrong => return last,
                _ => {}
            }
        }
        last.ending = Ending::NotRun;
        last
    }
}
