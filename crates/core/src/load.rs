//! What answers tell of the load at their target.

use std::fmt;

use crate::Error;
use crate::Result;
use crate::Step;

#[cfg(test)]
mod tests;

/// The load beside a target when an answer left it.
///
/// It is a hint: it steers the choice of an endpoint and proves nothing.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests that the target runs.
    pub in_flight: u16,
    /// Requests that it may run at once.
    pub slots: u16,
    /// Requests that wait for a slot.
    pub queued: u16,
}

impl LoadReport {
    /// Reads the form that [`fmt::Display`] writes.
    ///
    /// # Errors
    ///
    /// Fails unless it is three numbers below 65,536 between slashes.
    pub fn parse(text: &str) -> Result<LoadReport> {
        LoadReport::read(text)
            .ok_or_else(|| Error::new(Step::Check, format!("{text:?} isn't a load report")))
    }

    fn read(text: &str) -> Option<LoadReport> {
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
