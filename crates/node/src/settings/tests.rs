use std::time::Duration;

use miette::Diagnostic;
use rstest::rstest;

use super::LogFormat;
use super::LogLevel;
use super::Settings;
use super::SettingsError;
use super::read::MAX_SETTINGS_BYTES;

const WHOLE: &str = include_str!("tests/whole.yaml");

#[test]
fn what_is_left_out_has_a_default() {
    let settings = Settings::parse(WHOLE).expect("whole settings");
    assert_eq!(settings.target.connections, 10);
    assert_eq!(settings.target.probe, Duration::from_millis(200));
    assert_eq!(settings.platform.reads_per_s, 2_000);
    assert_eq!(settings.platform.share_percent, 25);
    assert_eq!(settings.spread.config.interval, Duration::from_secs(2));
    assert_eq!(settings.traffic_threads, 2);
    assert_eq!(settings.log.format, LogFormat::Text);
    assert_eq!(settings.log.level, LogLevel::Info);
    assert_eq!(settings.drain.bound, Duration::from_secs(30));
    assert!(settings.seeds.is_empty());
}

#[derive(Debug)]
struct Grace {
    drain: &'static str,
    bound_ms: u64,
}

/// Guards against requests that are cut by a bound which doesn't follow the granted grace.
#[rstest]
#[case::six(Grace { drain: "{callers_ms: 2200, grace_s: \"6\"}", bound_ms: 2_800 })]
#[case::ten(Grace { drain: "{callers_ms: 2200, grace_s: \"10\"}", bound_ms: 6_133 })]
#[case::fraction(Grace { drain: "{callers_ms: 2200, grace_s: \"4.5\"}", bound_ms: 1_550 })]
#[case::short(Grace { drain: "{callers_ms: 2200, grace_s: \"2\"}", bound_ms: 100 })]
#[case::not_told(Grace { drain: "{callers_ms: 2200, grace_s: \"\"}", bound_ms: 30_000 })]
#[case::set(Grace { drain: "{bound_ms: 700, grace_s: \"10\"}", bound_ms: 700 })]
fn requests_are_cut_within_the_grace(#[case] case: Grace) {
    let text = format!("{WHOLE}drain: {}\n", case.drain);
    let settings = Settings::parse(&text).expect("settings");
    let bound = settings.drain.bound.as_millis();
    assert_eq!(u64::try_from(bound), Ok(case.bound_ms), "{case:?}");
}

#[derive(Debug)]
struct Cold {
    fields: &'static str,
    over_percent: u32,
    slack: u32,
}

/// Guards against a node that gives cold targets more than its settings say they tolerate.
#[rstest]
#[case::told(Cold { fields: "cold_over: \"1.25\", cold_slack: \"8.0\"", over_percent: 125, slack: 8 })]
#[case::not_told(Cold { fields: "cold_over: \"\", cold_slack: \"\"", over_percent: 150, slack: 0 })]
#[case::one(Cold { fields: "cold_slack: \"3\"", over_percent: 150, slack: 3 })]
fn what_cold_targets_tolerate_is_set(#[case] case: Cold) {
    let text = WHOLE.replace("target: {", &format!("target: {{{}, ", case.fields));
    assert_ne!(text, WHOLE);
    let cold = Settings::parse(&text).expect("settings").target.cold;
    assert_eq!(
        (cold.max_rate_percent, cold.slack_requests),
        (case.over_percent, case.slack)
    );
}

#[rstest]
#[case("0")]
#[case("-1")]
#[case("soon")]
#[case("NaN")]
fn a_grace_that_is_none_is_told(#[case] grace: &str) {
    let text = format!("{WHOLE}drain: {{grace_s: \"{grace}\"}}\n");
    let told = Settings::parse(&text).expect_err("a fault").to_string();
    assert!(told.contains("must be 1 to 3600 seconds"), "{told}");
}

/// The operators' page, whose first YAML is a node's settings.
const PAGE: &str = include_str!("../../../../docs/OPERATIONS.md");

#[test]
fn settings_on_the_operators_page_are_read() {
    let begun = PAGE.split("```yaml\n").nth(1).expect("settings");
    let text = begun.split("```").next().expect("their end");
    let settings = Settings::parse(text).expect("whole settings");
    assert_eq!(settings.log.format, LogFormat::Json);
    assert_eq!(settings.seeds.len(), 2);
}

// Defaults are changed where a measurement says so. The page must follow.
#[test]
fn defaults_of_spread_on_the_operators_page_are_true() {
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
    assert_eq!(fields.len(), 22);
    let text = format!("{WHOLE}spread: {{{}}}\n", fields.join(", "));
    let told = Settings::parse(&text).expect("settings");
    let default = Settings::parse(WHOLE).expect("settings");
    assert_eq!(told.spread, default.spread);
}

/// One line of the whole settings replaced, and the faults that this brings.
#[derive(Debug)]
struct Fault {
    line: &'static str,
    by: &'static str,
    faults: &'static [&'static str],
}

#[rstest]
#[case::missing(Fault {
    line: "domain: bayanzurkh\n",
    by: "",
    faults: &["1:1: domain: is missing"],
})]
#[case::missing_section(Fault {
    line: "platform: {addr: 127.0.0.1:6000}\n",
    by: "",
    faults: &["1:1: platform: is missing"],
})]
#[case::unknown(Fault {
    line: "domain: bayanzurkh\n",
    by: "domain: bayanzurkh\nzone: b\n",
    faults: &["5:1: zone: is unknown"],
})]
#[case::unknown_below(Fault {
    line: "  ingress: 127.0.0.1:0\n",
    by: "  ingress: 127.0.0.1:0\n  outgress: 127.0.0.1:0\n",
    faults: &["7:3: listen: outgress: is unknown"],
})]
#[case::name(Fault {
    line: "instance: wd-1\n",
    by: "instance: WD 1\n",
    faults: &["1:11: instance: check: instance id \"WD 1\""],
})]
#[case::address(Fault {
    line: "  egress: 127.0.0.1:0\n",
    by: "  egress: localhost:0\n",
    faults: &["7:11: listen: egress: must be an IP number with a port"],
})]
#[case::admin_for_all(Fault {
    line: "  admin: 127.0.0.1:0\n",
    by: "  admin: 0.0.0.0:9003\n",
    faults: &["10:10: listen: admin: must be a loopback address"],
})]
#[case::one_address_twice(Fault {
    line: "  ingress: 127.0.0.1:0\n  egress: 127.0.0.1:0\n",
    by: "  ingress: 127.0.0.1:80\n  egress: 127.0.0.1:80\n",
    faults: &["listen: names 127.0.0.1:80 for two listeners"],
})]
#[case::ranges(Fault {
    line: "target: {addr: 127.0.0.1:7001, slots: 10, ready_path: /healthz}\n",
    by: "target: {addr: 127.0.0.1:7001, slots: 0, ready_path: healthz, probe_ms: 1}\n",
    faults: &[
        "11:39: target: slots: must be 1 to 10000, is 0",
        "11:54: target: ready_path: must begin with /",
        "11:73: target: probe_ms: must be 10 to 60000, is 1",
    ],
})]
#[case::log(Fault {
    line: "domain: bayanzurkh\n",
    by: "domain: bayanzurkh\nlog: {format: xml, level: loud}\n",
    faults: &[
        "5:15: log: format: must be text or json, is \"xml\"",
        "5:27: log: level: must be error, warn, info or debug, is \"loud\"",
    ],
})]
#[case::seeds(Fault {
    line: "domain: bayanzurkh\n",
    by: "domain: bayanzurkh\nseeds: [127.0.0.1:9, 5, nowhere]\n",
    faults: &[
        "5:22: seeds[1]: must be text, is a number",
        "5:25: seeds[2]: must be an IP number with a port, is \"nowhere\"",
    ],
})]
#[case::spread(Fault {
    line: "domain: bayanzurkh\n",
    by: "domain: bayanzurkh\nspread: {strategy: loud, fanout: 99}\n",
    faults: &[
        "5:20: spread: strategy: must be spread or naive, is \"loud\"",
        "5:34: spread: fanout: must be 1 to 16, is 99",
    ],
})]
#[case::ranges_that_depend_on_others(Fault {
    line: "domain: bayanzurkh\n",
    by: "domain: bayanzurkh\nspread: {backoff_base_ms: 5000, backoff_cap_ms: 1000}\n",
    faults: &["5:9: spread: settings: backoff_cap is 1s, must be 5s to 600s"],
})]
#[case::wrong_shape(Fault {
    line: "domain: bayanzurkh\n",
    by: "domain: bayanzurkh\ndrain: 30\nspread: [1]\n",
    faults: &[
        "6:9: spread: must be a table, is a list",
        "5:8: drain: must be a table, is a number",
    ],
})]
fn every_fault_is_told(#[case] case: Fault) {
    assert!(WHOLE.contains(case.line), "the case replaces nothing");
    let text = WHOLE.replace(case.line, case.by);
    let found = Settings::parse(&text).expect_err("faulty settings");
    let found: Vec<String> = found.iter().map(ToString::to_string).collect();
    assert_eq!(found.len(), case.faults.len(), "{found:#?}");
    for wanted in case.faults {
        let told = found.iter().any(|fault| fault.contains(wanted));
        assert!(told, "{wanted} isn't among {found:#?}");
    }
}

#[rstest]
#[case::too_long("#".repeat(MAX_SETTINGS_BYTES + 1), "has 65537 bytes, at most 65536")]
#[case::not_yaml("instance: [".to_owned(), "")]
#[case::not_a_table("- a\n".to_owned(), "must be a table, is a list")]
#[case::empty(String::new(), "must be a table")]
#[case::key_twice(format!("{WHOLE}domain: b\n"), "domain")]
fn what_is_no_settings_is_refused(#[case] text: String, #[case] wanted: &str) {
    let faults = Settings::parse(&text).expect_err("no settings");
    assert!(faults.to_string().contains(wanted), "{faults}");
}

#[test]
fn faults_are_shown_at_their_places() {
    let text = "instance: wd-1\nzone: b\nlisten: 5\n";
    let faults = Settings::parse(text).expect_err("faulty settings");
    let err = SettingsError::new("node.yaml", text, faults);
    let labels: Vec<_> = err.labels().expect("labels").collect();
    let zone = labels.iter().find(|label| label.offset() == 15);
    let zone = zone.and_then(|label| label.label());
    assert_eq!(zone, Some("zone: is unknown"));
    assert!(labels.iter().any(|label| label.offset() == 31));
}

#[test]
fn file_that_cannot_be_read_is_named() {
    let err = Settings::load("/nowhere/node.yaml".as_ref()).expect_err("no such file");
    assert!(err.to_string().contains("/nowhere/node.yaml"));
}
