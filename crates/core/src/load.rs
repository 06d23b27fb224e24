//! Load reports, which answers carry about their target.

use std::fmt;

use crate::Error;
use crate::Result;
use crate::Step;

#[cfg(test)]
mod tests;

/// The load at a target when one of its answers was sent.
///
/// It is a hint for the choice of an endpoint and may be wrong.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests that run at the target.
    pub in_flight: u16,
    /// Requests that the target may run at once.
    pub slots: u16,
    /// Requests that wait for a slot.
    pub queued: u16,
}

impl LoadReport {
    /// Parses the format that [`fmt::Display`] writes.
    ///
    /// # Errors
    ///
    /// Fails unless the text is three numbers below 65,536, separated by slashes.
    pub fn parse(text: &str) -> Result<LoadReport> {
        LoadReport::parse_parts(text)
            .ok_or_else(|| Error::new(Step::Check, format!("{text:?} is not a load report")))
    }

    fn parse_parts(text: &str) -> Option<LoadReport> {
        let (in_flight, rest) = text.split_once('/')?;
        let (slots, queued) = rest.split_once('/')?;
        Some(LoadReport {
            in_flight: in_flight.parse().ok()?,
            slots: slots.parse().ok()?,
            queued: queued.parse().ok()?,
        })
    }
}

impl fmt::Display for LoadReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.in_flight, self.slots, self.queued)
    }
}
