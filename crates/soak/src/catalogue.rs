//! The catalogues that a run publishes.

use std::time::Duration;

use sassafrasspool_bench::chaos::catalogue;

/// How long targets stay cold after the evacuation of their failure domain has ended.
pub const COLD_DURATION: Duration = Duration::from_secs(3);

/// Requests per second that a cold target tolerates.
pub const COLD_RATE_PER_S: u32 = 20;

/// The most requests that nodes with the settings of a run hand to a cold target within a
/// second.
pub const MAX_COLD_REQUESTS_PER_S: usize = 30;

/// The text of the `change`th valid catalogue, which evacuates the failure domains in
/// `evacuated`.
pub fn text(change: u64, evacuated: &[&str]) -> String {
    let lasts_ms = COLD_DURATION.as_millis();
    let cold = format!("cold_start: {{lasts_ms: {lasts_ms}, per_s: {COLD_RATE_PER_S}}}");
    let mut text = catalogue::text_with_service_line(change, &cold);
    if !evacuated.is_empty() {
        text += &format!("evacuated: [{}]\n", evacuated.join(", "));
    }
    text
}
