//! The catalogue of a run.

use std::time::Duration;

use sassafrasspool_bench::chaos::catalogue;

/// How long targets stay cold once the evacuation of their failure domain has ended.
pub const COLD_FOR: Duration = Duration::from_secs(3);

/// Requests a second that a cold target bears.
pub const COLD_PER_S: u32 = 20;

/// Requests within a second that a cold target gets at most, as nodes are set up.
pub const COLD_MOST_PER_S: usize = 30;

/// The `change`th text that binds, in which failure domains are evacuated.
pub fn text(change: u64, evacuated: &[&str]) -> String {
    let lasts_ms = COLD_FOR.as_millis();
    let cold = format!("cold_start: {{lasts_ms: {lasts_ms}, per_s: {COLD_PER_S}}}");
    let mut text = catalogue::text_with(change, &cold);
    if !evacuated.is_empty() {
        text += &format!("evacuated: [{}]\n", evacuated.join(", "));
    }
    text
}
