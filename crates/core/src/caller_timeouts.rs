//! Detection of callers' retries from the timeouts that they name.

use std::time::Duration;

#[cfg(test)]
mod tests;

/// Histogram buckets per octave of timeouts. Each bucket is 4% longer than the one
/// before, so first attempts of callers that randomly shorten their timeout by up to
/// 15% fill four buckets.
const BUCKETS_PER_OCTAVE: f64 = 16.0;

/// Number of counted timeouts at which all counts are halved, so that the histogram
/// follows callers that change their timeouts.
const HALVE_AFTER_SAMPLES: u32 = 512;

/// A bucket belongs to the first attempts if it has at least a quarter of the count of
/// the fullest bucket. The remaining timeouts of retries after a refusal spread over
/// fifteen buckets or more.
const MODE_SHARE_DIVISOR: u32 = 4;

/// The maximum number of buckets that first attempts fill. Timeouts that spread over
/// more buckets, by a third, have no usual value.
const MAX_MODE_WIDTH_BUCKETS: usize = 8;

/// Histogram of the caller timeouts of a route, which estimates the timeout of first
/// attempts.
///
/// A caller that retries sends a new request and names its remaining timeout. Such a
/// request alone looks like a first attempt with a short timeout. But first attempts
/// all name nearly the same timeout, while the remaining timeouts of retries spread
/// widely below it. The most densely counted timeouts are those of first attempts.
///
/// Similar timeouts are counted together, because callers shorten theirs by some
/// percent at random. An undetected retry takes the slot of another request that
/// could still be answered in time.
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use sassafrasspool_core::CallerTimeouts;
///
/// let mut timeouts = CallerTimeouts::default();
/// let ms = Duration::from_millis;
/// for n in 0..20 {
///     timeouts.record(ms(2_500));
///     timeouts.record(ms(1_000 + 37 * n));
/// }
/// assert_eq!(timeouts.time_since_first_attempt(ms(2_500)), Duration::ZERO);
/// assert_eq!(timeouts.time_since_first_attempt(ms(1_800)), ms(700));
/// ```
#[derive(Debug, Clone, Default)]
pub struct CallerTimeouts {
    /// The filled buckets, by increasing number.
    buckets: Vec<Bucket>,
    total: u32,
}

/// The timeouts that were counted in one bucket.
#[derive(Debug, Clone)]
struct Bucket {
    number: u16,
    count: u32,
    sum: Duration,
}

impl CallerTimeouts {
    /// Counts the timeout that a caller named.
    pub fn record(&mut self, timeout: Duration) {
        let number = bucket_of(timeout);
        let at = self
            .buckets
            .binary_search_by_key(&number, |bucket| bucket.number);
        match at {
            Ok(at) => {
                self.buckets[at].count += 1;
                self.buckets[at].sum += timeout;
            }
            Err(at) => {
                let bucket = Bucket {
                    number,
                    count: 1,
                    sum: timeout,
                };
                self.buckets.insert(at, bucket);
            }
        }
        self.total += 1;
        if self.total >= HALVE_AFTER_SAMPLES {
            self.halve_counts();
        }
    }

    /// The time since the first attempt of a caller that now names `timeout`;
    /// zero if this request looks like the first attempt.
    pub fn time_since_first_attempt(&self, timeout: Duration) -> Duration {
        let Some(first) = self.first_attempt_buckets() else {
            return Duration::ZERO;
        };
        if first
            .iter()
            .any(|bucket| bucket.number <= bucket_of(timeout))
        {
            return Duration::ZERO;
        }
        let count: u32 = first.iter().map(|bucket| bucket.count).sum();
        let sum: Duration = first.iter().map(|bucket| bucket.sum).sum();
        (sum / count.max(1)).saturating_sub(timeout)
    }

    /// The buckets of first attempts: the fullest bucket, the adjacent buckets below it
    /// that have at least a quarter of its count, and all buckets above it.
    fn first_attempt_buckets(&self) -> Option<&[Bucket]> {
        let buckets = self.buckets.iter().enumerate();
        let (top, fullest) = buckets.max_by_key(|(_, bucket)| bucket.count)?;
        let mut at = top;
        if fullest.count < 2 {
            return None;
        }
        let least = fullest.count.div_ceil(MODE_SHARE_DIVISOR);
        while let Some(below) = at.checked_sub(1).map(|below| &self.buckets[below]) {
            if below.number + 1 != self.buckets[at].number || below.count < least {
                break;
            }
            at -= 1;
        }
        if top - at >= MAX_MODE_WIDTH_BUCKETS {
            return None;
        }
        Some(&self.buckets[at..])
    }

    fn halve_counts(&mut self) {
        for bucket in &mut self.buckets {
            bucket.sum = bucket.sum * (bucket.count / 2) / bucket.count.max(1);
            bucket.count /= 2;
        }
        self.buckets.retain(|bucket| bucket.count > 0);
        self.total = self.buckets.iter().map(|bucket| bucket.count).sum();
    }
}

/// The number of the bucket of a timeout; timeouts below a millisecond are in the first.
fn bucket_of(timeout: Duration) -> u16 {
    let ms = (timeout.as_secs_f64() * 1_000.0).max(1.0);
    // Even for a day, the number is far below the maximum of `u16`.
    (ms.log2() * BUCKETS_PER_OCTAVE) as u16
}
