//! Telling a caller's later attempts from its first.

use std::time::Duration;

#[cfg(test)]
mod tests;

/// Different times that are counted. Those of later attempts hardly repeat, so
/// that a few places are enough for the one that does.
const PLACES: usize = 8;

/// The most that one time is counted, so that another can take its place when
/// callers change their ways.
const MOST: u32 = 64;

/// How long callers of a route wait at their first attempt.
///
/// A caller that tries again has an attempt of its own and says how long it
/// still waits. That alone looks like a first attempt in a hurry; but first
/// attempts all say the same time, while what is left later differs each time.
/// The time that is named most often is that of first attempts, as long as they
/// are more than an eighth of all.
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use sassafrasspool_core::Patience;
///
/// let mut patience = Patience::default();
/// let ms = Duration::from_millis;
/// for n in 0..20 {
///     patience.note(ms(2_500));
///     patience.note(ms(1_000 + 37 * n));
/// }
/// assert_eq!(patience.since_first(ms(2_500)), Duration::ZERO);
/// assert_eq!(patience.since_first(ms(1_800)), ms(700));
/// ```
#[derive(Debug, Clone, Default)]
pub struct Patience {
    counted: Vec<(Duration, u32)>,
}

impl Patience {
    /// Takes in how long a caller says that it waits.
    pub fn note(&mut self, wait: Duration) {
        if let Some((_, count)) = self.counted.iter_mut().find(|(time, _)| *time == wait) {
            *count = (*count + 1).min(MOST);
            return;
        }
        if self.counted.len() < PLACES {
            self.counted.push((wait, 1));
            return;
        }
        // What comes once takes one off all others: only what makes up more
        // than its share of all stays.
        for (_, count) in &mut self.counted {
            *count -= 1;
        }
        self.counted.retain(|(_, count)| *count > 0);
    }

    /// How long ago the first attempt was, of a caller that waits for `wait`
    /// now; zero if this looks like the first.
    pub fn since_first(&self, wait: Duration) -> Duration {
        let most = self.counted.iter().max_by_key(|(_, count)| *count);
        let first = most.filter(|(_, count)| *count > 1);
        first.map_or(Duration::ZERO, |(time, _)| time.saturating_sub(wait))
    }
}
