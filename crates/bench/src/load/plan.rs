//! Plans calls from a seed.

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::kind::CallKind;
use super::kind::Keys;

/// One call as planned before the run, independent of what happens in it.
#[derive(Debug, Clone, PartialEq)]
pub struct Call {
    /// The number of the call, from 0.
    pub n: u64,
    /// Index into the plan's kinds.
    pub kind: usize,
    /// Whether it carries a request key.
    pub keyed: bool,
    /// When it is due, counted from the start of the run.
    pub due: Duration,
    /// Requested length of the answer, in bytes of the pattern.
    pub answer_bytes: usize,
    /// Length of the request body, in bytes.
    pub request_bytes: usize,
    /// Random number that seeds the choices made during the run.
    pub draw: u64,
}

/// Calls with exponentially distributed gaps, all drawn from one seed.
///
/// The plan doesn't depend on answers. So a slow answer delays no later call, and the
/// latencies include calls that would have waited (no coordinated omission).
#[derive(Debug, Clone)]
pub struct Plan {
    kinds: Vec<CallKind>,
    rate_per_s: f64,
    length: Duration,
    due: Duration,
    n: u64,
    rng: SmallRng,
}

impl Plan {
    /// Plans `rate_per_s` calls a second for `length`.
    ///
    /// # Panics
    ///
    /// Panics if there is no kind with a share or the rate isn't positive.
    pub fn new(kinds: &[CallKind], rate_per_s: f64, length: Duration, seed: u64) -> Plan {
        assert!(
            kinds.iter().any(|kind| kind.share > 0),
            "no kind has a share"
        );
        assert!(rate_per_s > 0.0, "the rate must be positive");
        Plan {
            kinds: kinds.to_vec(),
            rate_per_s,
            length,
            due: Duration::ZERO,
            n: 0,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    fn draw_gap(&mut self) -> Duration {
        let uniform: f64 = self.rng.random();
        // The argument is in (0, 1], so that the logarithm is finite.
        Duration::from_secs_f64(-(1.0 - uniform).ln() / self.rate_per_s)
    }

    fn draw_kind(&mut self) -> usize {
        let total: u32 = self.kinds.iter().map(|kind| kind.share).sum();
        let mut rest = self.rng.random_range(0..total);
        for (i, kind) in self.kinds.iter().enumerate() {
            if rest < kind.share {
                return i;
            }
            rest -= kind.share;
        }
        0
    }
}

impl Iterator for Plan {
    type Item = Call;

    fn next(&mut self) -> Option<Call> {
        let gap = self.draw_gap();
        self.due += gap;
        if self.due >= self.length {
            return None;
        }
        let kind = self.draw_kind();
        let CallKind {
            keys,
            answer_bytes,
            request_bytes,
            ..
        } = self.kinds[kind];
        let keyed = match keys {
            Keys::None => false,
            Keys::All => true,
            Keys::Half => self.rng.random(),
        };
        let call = Call {
            n: self.n,
            kind,
            keyed,
            due: self.due,
            answer_bytes: self.rng.random_range(0..=answer_bytes),
            request_bytes: self.rng.random_range(0..=request_bytes),
            draw: self.rng.random(),
        };
        self.n += 1;
        Some(call)
    }
}
