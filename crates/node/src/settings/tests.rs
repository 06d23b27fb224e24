use std::time::Duration;

use miette::Diagnostic;
use rstest::rstest;
use sassafrasspool_core::LinkRate;

use super::LogFormat;
use super::LogLevel;
use super::Settings;
use super::SettingsError;
use super::read::MAX_SETTINGS_BYTES;

const COMPLETE: &str = include_str!("tests/whole.yaml");

#[test]
fn missing_fields_have_defaults() {
    let settings = Settings::parse(COMPLETE).expect("valid settings");
    assert_eq!(settings.target.connections, 10);
    assert_eq!(settings.target.probe_interval, Duration::from_millis(200));
    assert_eq!(settings.platform.reads_per_s, 2_000);
    assert_eq!(settings.platform.share_percent, 25);
    assert_eq!(settings.spread.config.interval, Duration::from_secs(2));
    assert_eq!(settings.traffic_threads, 2);
    assert_eq!(settings.log.format, LogFormat::Text);
    assert_eq!(settings.log.level, LogLevel::Info);
    assert_eq!(settings.drain.in_flight_timeout, Duration::from_secs(30));
    assert!(settings.seeds.is_empty());
}

#[derive(Debug)]
struct GraceCase {
    drain: &'static str,
    bound_ms: u64,
}

/// Guards against a timeout that isn't derived from the grace period: it cuts requests although
/// grace is left.
#[rstest]
#[case::six(GraceCase { drain: "{callers_ms: 2200, grace_s: \"6\"}", bound_ms: 2_800 })]
#[case::ten(GraceCase { drain: "{callers_ms: 2200, grace_s: \"10\"}", bound_ms: 6_133 })]
#[case::fraction(GraceCase { drain: "{callers_ms: 2200, grace_s: \"4.5\"}", bound_ms: 1_550 })]
#[case::shorter_than_callers_ms(GraceCase { drain: "{callers_ms: 2200, grace_s: \"2\"}", bound_ms: 100 })]
#[case::empty(GraceCase { drain: "{callers_ms: 2200, grace_s: \"\"}", bound_ms: 30_000 })]
#[case::set(GraceCase { drain: "{bound_ms: 700, grace_s: \"10\"}", bound_ms: 700 })]
fn requests_are_cut_within_the_grace_period(#[case] case: GraceCase) {
    let text = format!("{COMPLETE}drain: {}\n", case.drain);
    let settings = Settings::parse(&text).expect("valid settings");
    let bound = settings.drain.in_flight_timeout.as_millis();
    assert_eq!(u64::try_from(bound), Ok(case.bound_ms), "{case:?}");
}

#[derive(Debug)]
struct ColdCase {
    fields: &'static str,
    over_percent: u32,
    slack: u32,
}

/// Guards against a node that sends cold targets more requests than its settings allow.
#[rstest]
#[case::both(ColdCase { fields: "cold_over: \"1.25\", cold_slack: \"8.0\"", over_percent: 125, slack: 8 })]
#[case::empty(ColdCase { fields: "cold_over: \"\", cold_slack: \"\"", over_percent: 150, slack: 0 })]
#[case::slack_only(ColdCase { fields: "cold_slack: \"3\"", over_percent: 150, slack: 3 })]
fn cold_tolerance_is_read(#[case] case: ColdCase) {
    let text = COMPLETE.replace("target: {", &format!("target: {{{}, ", case.fields));
    assert_ne!(text, COMPLETE);
    let cold = Settings::parse(&text)
        .expect("valid settings")
        .target
        .cold_tolerance;
    assert_eq!(
        (cold.max_rate_percent, cold.slack_requests),
        (case.over_percent, case.slack)
    );
}

/// Guards against a link of another bandwidth than the settings name.
#[rstest]
#[case::set("link: {mbps: \"20\"}", Some(2_250_000))]
#[case::fraction("link: {mbps: \"0.5\"}", Some(56_250))]
#[case::empty("link: {mbps: \"\"}", None)]
#[case::empty_table("link: {}", None)]
#[case::missing("", None)]
fn link_rate_is_read(#[case] field: &str, #[case] bytes_per_s: Option<u64>) {
    let settings = Settings::parse(&format!("{COMPLETE}{field}\n")).expect("valid settings");
    let rate = settings.link.rate.map(LinkRate::bytes_per_s);
    assert_eq!(rate, bytes_per_s);
}

/// Guards against features that are lost, or a node that doesn't start since it doesn't know one.
#[test]
fn features_are_read() {
    let text = format!("{COMPLETE}features: [return-priority, other]\n");
    let settings = Settings::parse(&text).expect("valid settings");
    assert_eq!(settings.features, ["return-priority", "other"]);
}

/// Guards against faults in the link and the features that are ignored.
#[rstest]
#[case::zero(
    "link: {mbps: \"0\"}",
    "must be 0.01 to 1000000 megabits a second, is \"0\""
)]
#[case::not_a_number("link: {mbps: \"NaN\"}", "must be 0.01 to 1000000 megabits a second")]
#[case::unknown("link: {gbps: \"1\"}", "gbps: is unknown")]
#[case::number_feature("features: [7]", "features[0]: must be text")]
#[case::long_feature(
    "features: [aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa]",
    "features[0]: must have at most 64 bytes"
)]
fn faults_in_link_and_features_are_reported(#[case] field: &str, #[case] expected: &str) {
    let faults = Settings::parse(&format!("{COMPLETE}{field}\n"));
    let faults = faults.expect_err("invalid settings").to_string();
    assert!(faults.contains(expected), "{faults}");
}

/// Guards against a list of features without a bound.
#[test]
fn too_many_features_are_reported() {
    let text = format!("{COMPLETE}features: [{}]\n", "a, ".repeat(65));
    let faults = Settings::parse(&text).expect_err("invalid settings");
    let faults = faults.to_string();
    assert!(
        faults.contains("features: has 65 entries, at most 64"),
        "{faults}"
    );
}

#[rstest]
#[case("0")]
#[case("-1")]
#[case("soon")]
#[case("NaN")]
fn invalid_grace_period_is_reported(#[case] grace: &str) {
    let text = format!("{COMPLETE}drain: {{grace_s: \"{grace}\"}}\n");
    let faults = Settings::parse(&text)
        .expect_err("invalid settings")
        .to_string();
    assert!(faults.contains("must be 1 to 3600 seconds"), "{faults}");
}

/// The operators' page; its first YAML block is a node's settings.
const PAGE: &str = include_str!("../../../../docs/OPERATIONS.md");

#[test]
fn settings_on_the_operators_page_are_valid() {
    let block = PAGE.split("```yaml\n").nth(1).expect("a YAML block");
    let text = block.split("```").next().expect("the end of the block");
    let settings = Settings::parse(text).expect("valid settings");
    assert_eq!(settings.log.format, LogFormat::Json);
    assert_eq!(settings.seeds.len(), 2);
}

// Guards against a page that shows former defaults: defaults change with measurements.
#[test]
fn spread_defaults_on_the_operators_page_match() {
    let table = PAGE.split("| field of `spread` |").nth(1).expect("a table");
    let rows = table.lines().skip(2).take_while(|row| row.starts_with('|'));
    let fields = rows.map(|row| {
        let cells: Vec<&str> = row
            .split('|')
            .map(|cell| cell.trim().trim_matches('`'))
            .collect();
        format!("{}: {}", cells[1], cells[3].replace(',', ""))
    });
    let fields: Vec<String> = fields.collect();
    assert_eq!(fields.len(), 23);
    let text = format!("{COMPLETE}spread: {{{}}}\n", fields.join(", "));
    let documented = Settings::parse(&text).expect("valid settings");
    let default = Settings::parse(COMPLETE).expect("valid settings");
    assert_eq!(documented.spread, default.spread);
}

/// One line of the complete settings replaced, and the faults that result.
#[derive(Debug)]
struct FaultCase {
    line: &'static str,
    replacement: &'static str,
    faults: &'static [&'static str],
}

#[rstest]
#[case::missing(FaultCase {
    line: "domain: bayanzurkh\n",
    replacement: "",
    faults: &["1:1: domain: is missing"],
})]
#[case::missing_section(FaultCase {
    line: "platform: {addr: 127.0.0.1:6000}\n",
    replacement: "",
    faults: &["1:1: platform: is missing"],
})]
#[case::unknown(FaultCase {
    line: "domain: bayanzurkh\n",
    replacement: "domain: bayanzurkh\nzone: b\n",
    faults: &["5:1: zone: is unknown"],
})]
#[case::unknown_in_section(FaultCase {
    line: "  ingress: 127.0.0.1:0\n",
    replacement: "  ingress: 127.0.0.1:0\n  outgress: 127.0.0.1:0\n",
    faults: &["7:3: listen: outgress: is unknown"],
})]
#[case::name(FaultCase {
    line: "instance: wd-1\n",
    replacement: "instance: WD 1\n",
    faults: &["1:11: instance: check: instance id \"WD 1\""],
})]
#[case::address(FaultCase {
    line: "  egress: 127.0.0.1:0\n",
    replacement: "  egress: localhost:0\n",
    faults: &["7:11: listen: egress: must be an IP number with a port"],
})]
#[case::admin_not_loopback(FaultCase {
    line: "  admin: 127.0.0.1:0\n",
    replacement: "  admin: 0.0.0.0:9003\n",
    faults: &["10:10: listen: admin: must be a loopback address"],
})]
#[case::duplicate_address(FaultCase {
    line: "  ingress: 127.0.0.1:0\n  egress: 127.0.0.1:0\n",
    replacement: "  ingress: 127.0.0.1:80\n  egress: 127.0.0.1:80\n",
    faults: &["listen: names 127.0.0.1:80 for two listeners"],
})]
#[case::ranges(FaultCase {
    line: "target: {addr: 127.0.0.1:7001, slots: 10, ready_path: /healthz}\n",
    replacement: "target: {addr: 127.0.0.1:7001, slots: 0, ready_path: healthz, probe_ms: 1}\n",
    faults: &[
        "11:39: target: slots: must be 1 to 10000, is 0",
        "11:54: target: ready_path: must begin with /",
        "11:73: target: probe_ms: must be 10 to 60000, is 1",
    ],
})]
#[case::log(FaultCase {
    line: "domain: bayanzurkh\n",
    replacement: "domain: bayanzurkh\nlog: {format: xml, level: loud}\n",
    faults: &[
        "5:15: log: format: must be text or json, is \"xml\"",
        "5:27: log: level: must be error, warn, info or debug, is \"loud\"",
    ],
})]
#[case::seeds(FaultCase {
    line: "domain: bayanzurkh\n",
    replacement: "domain: bayanzurkh\nseeds: [127.0.0.1:9, 5, nowhere]\n",
    faults: &[
        "5:22: seeds[1]: must be text, is a number",
        "5:25: seeds[2]: must be an IP number with a port, is \"nowhere\"",
    ],
})]
#[case::spread(FaultCase {
    line: "domain: bayanzurkh\n",
    replacement: "domain: bayanzurkh\nspread: {strategy: loud, fanout: 99}\n",
    faults: &[
        "5:20: spread: strategy: must be spread or naive, is \"loud\"",
        "5:34: spread: fanout: must be 1 to 16, is 99",
    ],
})]
#[case::dependent_range(FaultCase {
    line: "domain: bayanzurkh\n",
    replacement: "domain: bayanzurkh\nspread: {backoff_base_ms: 5000, backoff_cap_ms: 1000}\n",
    faults: &["5:9: spread: settings: backoff_cap is 1s, must be 5s to 600s"],
})]
#[case::wrong_shape(FaultCase {
    line: "domain: bayanzurkh\n",
    replacement: "domain: bayanzurkh\ndrain: 30\nspread: [1]\n",
    faults: &[
        "6:9: spread: must be a table, is a list",
        "5:8: drain: must be a table, is a number",
    ],
})]
fn every_fault_is_reported(#[case] case: FaultCase) {
    assert!(
        COMPLETE.contains(case.line),
        "the replaced line isn't in the settings"
    );
    let text = COMPLETE.replace(case.line, case.replacement);
    let found = Settings::parse(&text).expect_err("invalid settings");
    let found: Vec<String> = found.iter().map(ToString::to_string).collect();
    assert_eq!(found.len(), case.faults.len(), "{found:#?}");
    for expected in case.faults {
        let reported = found.iter().any(|fault| fault.contains(expected));
        assert!(reported, "{expected} isn't among {found:#?}");
    }
}

#[rstest]
#[case::too_long("#".repeat(MAX_SETTINGS_BYTES + 1), "has 65537 bytes, at most 65536")]
#[case::not_yaml("instance: [".to_owned(), "")]
#[case::not_a_table("- a\n".to_owned(), "must be a table, is a list")]
#[case::empty(String::new(), "must be a table")]
#[case::duplicate_key(format!("{COMPLETE}domain: b\n"), "domain")]
fn invalid_text_is_rejected(#[case] text: String, #[case] expected: &str) {
    let faults = Settings::parse(&text).expect_err("invalid settings");
    assert!(faults.to_string().contains(expected), "{faults}");
}

#[test]
fn faults_are_labelled_at_their_places() {
    let text = "instance: wd-1\nzone: b\nlisten: 5\n";
    let faults = Settings::parse(text).expect_err("invalid settings");
    let err = SettingsError::new("node.yaml", text, faults);
    let labels: Vec<_> = err.labels().expect("labels").collect();
    let zone = labels.iter().find(|label| label.offset() == 15);
    let zone = zone.and_then(|label| label.label());
    assert_eq!(zone, Some("zone: is unknown"));
    assert!(labels.iter().any(|label| label.offset() == 31));
}

#[test]
fn unreadable_file_is_named_in_the_error() {
    let err = Settings::load("/nowhere/node.yaml".as_ref()).expect_err("no such file");
    assert!(err.to_string().contains("/nowhere/node.yaml"));
}
