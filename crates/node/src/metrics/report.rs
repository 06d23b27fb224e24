//! Metrics whose values are kept elsewhere and copied to the recorder when the
//! page is requested.

use metrics::counter;
use metrics::gauge;
use sassafrasspool_core::SpreadStatus;
use sassafrasspool_core::Stream;
use sassafrasspool_wire::admin::ControlStats;

use super::names;
use crate::Shared;

/// The sources of the values that are copied to the recorder.
#[derive(Debug)]
pub(crate) struct Report<'a> {
    /// The state shared by the control side and the traffic side.
    pub(crate) shared: &'a Shared,
    /// The status of the dissemination.
    pub(crate) spread: &'a SpreadStatus,
    /// The counts of the node's control traffic.
    pub(crate) control: ControlStats,
}

impl Report<'_> {
    /// Copies the values to the recorder.
    pub(crate) fn publish(&self) {
        for stream in Stream::ALL {
            let held = self.spread.held.of(stream);
            let revision = held.map_or(0, |version| version.revision().get());
            gauge!(names::REVISION, "stream" => stream.as_str()).set(revision as f64);
        }
        if let Some(age) = self.spread.source_age {
            gauge!(names::SOURCE_AGE).set(age.as_secs_f64());
        }
        if let Some(staleness) = self.spread.staleness {
            gauge!(names::STALENESS).set(staleness.as_secs_f64());
        }
        gauge!(names::IN_FLIGHT).set(self.shared.in_flight().count() as f64);
        gauge!(names::PEERS).set(self.spread.peers as f64);
        gauge!(names::PHASE).set(f64::from(self.shared.phase() as u8));
        gauge!(names::READING).set(f64::from(u8::from(self.spread.reading)));
        if let Some(link) = self.shared.link() {
            let totals = link.totals();
            gauge!(names::LINK_DELAY)
                .set(link.report(self.shared.clock().now()).delay.as_secs_f64());
            counter!(names::LINK_BYTES, "traffic" => "large").absolute(totals.large_bytes);
            counter!(names::LINK_BYTES, "traffic" => "other").absolute(totals.other_bytes);
            counter!(names::LINK_REFUSALS).absolute(totals.refusals);
        }
        let [states, failures, successes] = self.shared.log().dropped_lines();
        counter!(names::LOG_LEFT_OUT, "rank" => "state").absolute(states);
        counter!(names::LOG_LEFT_OUT, "rank" => "failure").absolute(failures);
        counter!(names::LOG_LEFT_OUT, "rank" => "success").absolute(successes);
        counter!(names::CONTROL_BYTES, "direction" => "in").absolute(self.control.bytes_in);
        counter!(names::CONTROL_BYTES, "direction" => "out").absolute(self.control.bytes_out);
    }
}
