//! Figures that are kept elsewhere and are copied when the page is read.

use metrics::counter;
use metrics::gauge;
use sassafrasspool_core::SpreadStatus;
use sassafrasspool_core::Stream;
use sassafrasspool_wire::admin::ControlStats;

use super::names;
use crate::Shared;

/// What a node's page shows besides its counters.
#[derive(Debug)]
pub(crate) struct Report<'a> {
    /// What both sides share.
    pub(crate) shared: &'a Shared,
    /// The state of spreading.
    pub(crate) spread: &'a SpreadStatus,
    /// The node's control traffic.
    pub(crate) control: ControlStats,
}

impl Report<'_> {
    /// Copies the figures to the recorder.
    pub(crate) fn publish(&self) {
        for stream in Stream::ALL {
            let held = self.spread.held.of(stream);
            let revision = held.map_or(0, |version| version.revision().get());
            gauge!(names::REVISION, "stream" => stream.as_str()).set(revision as f64);
        }
        if let Some(age) = self.spread.source_age {
            gauge!(names::SOURCE_AGE).set(age.as_secs_f64());
        }
        gauge!(names::IN_FLIGHT).set(self.shared.in_flight().count() as f64);
        gauge!(names::PEERS).set(self.spread.peers as f64);
        gauge!(names::PHASE).set(f64::from(self.shared.phase() as u8));
        gauge!(names::READING).set(f64::from(u8::from(self.spread.reading)));
        let [states, failures, successes] = self.shared.log().left_out();
        counter!(names::LOG_LEFT_OUT, "rank" => "state").absolute(states);
        counter!(names::LOG_LEFT_OUT, "rank" => "failure").absolute(failures);
        counter!(names::LOG_LEFT_OUT, "rank" => "success").absolute(successes);
        counter!(names::CONTROL_BYTES, "direction" => "in").absolute(self.control.bytes_in);
        counter!(names::CONTROL_BYTES, "direction" => "out").absolute(self.control.bytes_out);
    }
}
