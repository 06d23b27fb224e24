//! Reports of a link's delay, which answers carry.

use std::fmt;
use std::time::Duration;

use crate::Error;
use crate::Result;
use crate::Step;

/// The delay of a link for large answers when an answer was sent.
///
/// It is a hint for the choice of an endpoint and may be wrong.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LinkReport {
    /// How long it takes until all large answers are sent that are queued or expected.
    pub delay: Duration,
    /// The time that an average large answer takes on the link.
    pub answer: Duration,
}

impl LinkReport {
    /// Parses the format that [`fmt::Display`] writes.
    ///
    /// # Errors
    ///
    /// Fails unless the text is two whole numbers of milliseconds, separated by a slash.
    pub fn parse(text: &str) -> Result<LinkReport> {
        LinkReport::parse_parts(text)
            .ok_or_else(|| Error::new(Step::Check, format!("{text:?} is not a link report")))
    }

    fn parse_parts(text: &str) -> Option<LinkReport> {
        let (delay, answer) = text.split_once('/')?;
        let millis = |text: &str| Some(Duration::from_millis(text.parse::<u32>().ok()?.into()));
        Some(LinkReport {
            delay: millis(delay)?,
            answer: millis(answer)?,
        })
    }
}

impl fmt::Display for LinkReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let millis = |time: Duration| u32::try_from(time.as_millis()).unwrap_or(u32::MAX);
        write!(f, "{}/{}", millis(self.delay), millis(self.answer))
    }
}
