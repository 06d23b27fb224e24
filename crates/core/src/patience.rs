//! Telling a caller's later attempts from its first.

use std::time::Duration;

#[cfg(test)]
mod tests;

/// Steps of an octave by which times are told apart: each is 4% longer than the
/// one before, so that first attempts of callers that shorten the time they name
/// by up to 15% fill four of them.
const STEPS: f64 = 16.0;

/// Times that are counted until all counts are halved, so that callers that change
/// their ways are followed.
const HALVE_AFTER_SAMPLES: u32 = 512;

/// A step belongs to the first attempts if it has a quarter of the fullest one's
/// count: what is left after a refusal spreads over fifteen steps or more.
const MODE_SHARE_DIVISOR: u32 = 4;

/// The most steps that first attempts fill. Times that spread over more, by a
/// third, have nothing usual about them.
const MAX_MODE_WIDTH_STEPS: usize = 8;

/// How long callers of a route wait at their first attempt.
///
/// A caller that tries again has an attempt of its own and says how long it
/// still waits. That alone looks like a first attempt in a hurry; but first
/// attempts all say nearly the same time, while what is left later is spread
/// widely below it. The times that stand closest are those of first attempts.
///
/// Times that are alike count as well as equal ones: callers shorten theirs by some
/// percent at random, and one that comes back unseen takes the slot of another that
/// could be in time.
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
    /// By step, the lowest first.
    counted: Vec<Step>,
    total: u32,
}

/// The times that were named within one step.
#[derive(Debug, Clone)]
struct Step {
    number: u16,
    count: u32,
    sum: Duration,
}

impl Patience {
    /// Takes in how long a caller says that it waits.
    pub fn note(&mut self, wait: Duration) {
        let number = step_of(wait);
        let at = self
            .counted
            .binary_search_by_key(&number, |step| step.number);
        match at {
            Ok(at) => {
                self.counted[at].count += 1;
                self.counted[at].sum += wait;
            }
            Err(at) => {
                let step = Step {
                    number,
                    count: 1,
                    sum: wait,
                };
                self.counted.insert(at, step);
            }
        }
        self.total += 1;
        if self.total >= HALVE_AFTER_SAMPLES {
            self.forget();
        }
    }

    /// How long ago the first attempt was, of a caller that waits for `wait`
    /// now; zero if this looks like the first.
    pub fn since_first(&self, wait: Duration) -> Duration {
        let Some(first) = self.first_attempts() else {
            return Duration::ZERO;
        };
        if first.iter().any(|step| step.number <= step_of(wait)) {
            return Duration::ZERO;
        }
        let count: u32 = first.iter().map(|step| step.count).sum();
        let sum: Duration = first.iter().map(|step| step.sum).sum();
        (sum / count.max(1)).saturating_sub(wait)
    }

    /// The steps of first attempts: the fullest, those that are nearly as full
    /// right below it, and all above.
    fn first_attempts(&self) -> Option<&[Step]> {
        let counted = self.counted.iter().enumerate();
        let (top, fullest) = counted.max_by_key(|(_, step)| step.count)?;
        let mut at = top;
        if fullest.count < 2 {
            return None;
        }
        let least = fullest.count.div_ceil(MODE_SHARE_DIVISOR);
        while let Some(below) = at.checked_sub(1).map(|below| &self.counted[below]) {
            if below.number + 1 != self.counted[at].number || below.count < least {
                break;
            }
            at -= 1;
        }
        if top - at >= MAX_MODE_WIDTH_STEPS {
            return None;
        }
        Some(&self.counted[at..])
    }

    fn forget(&mut self) {
        for step in &mut self.counted {
            step.sum = step.sum * (step.count / 2) / step.count.max(1);
            step.count /= 2;
        }
        self.counted.retain(|step| step.count > 0);
        self.total = self.counted.iter().map(|step| step.count).sum();
    }
}

/// The step that a time is in; times below a millisecond are in the first.
fn step_of(wait: Duration) -> u16 {
    let ms = (wait.as_secs_f64() * 1_000.0).max(1.0);
    // Far below the bound even for a day.
    (ms.log2() * STEPS) as u16
}
