//! The catalogues that a run publishes.

use std::time::Duration;

use sassafrasspool_bench::chaos::catalogue;
use sassafrasspool_bench::load::CallKind;
use sassafrasspool_bench::load::Keys;
use sassafrasspool_core::Class;

/// How long targets stay cold after the evacuation of their failure domain has ended.
pub const COLD_DURATION: Duration = Duration::from_secs(3);

/// Requests per second that a cold target tolerates.
pub const COLD_RATE_PER_S: u32 = 20;

/// The most requests that nodes with the settings of a run hand to a cold target within a
/// second.
pub const MAX_COLD_REQUESTS_PER_S: usize = 30;

/// The kind of the calls with large answers. Its route belongs to the last service.
pub const DOWNLOAD: CallKind = CallKind {
    name: "download",
    path: "/adjuster/downloads",
    class: Class::Standard,
    weight: 1,
    idempotent: true,
    keys: Keys::None,
    share: 1,
    answer_bytes: 540_000,
    request_bytes: 0,
};

/// The text of the `change`th valid catalogue, which evacuates the failure domains in
/// `evacuated`.
pub fn text(change: u64, evacuated: &[&str]) -> String {
    let lasts_ms = COLD_DURATION.as_millis();
    let cold = format!("cold_start: {{lasts_ms: {lasts_ms}, per_s: {COLD_RATE_PER_S}}}");
    let text = catalogue::text_with_service_line(change, &cold);
    let mut text = text.replacen("kinds:\n", "kinds:\n  download: {weight: 1}\n", 1);
    text += "      - {path: /adjuster/downloads, kind: download, class: standard, \
             idempotent: true, large_answers: true}\n";
    if !evacuated.is_empty() {
        text += &format!("evacuated: [{}]\n", evacuated.join(", "));
    }
    text
}
