//! Tests the subcommand-ins as processes: settings, addresses and signals.

use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Output;
use std::process::Stdio;

use http::StatusCode;
use rstest::rstest;
use serde::Deserialize;

use crate::support::Caller;

#[derive(Debug, Deserialize)]
struct Addrs {
    addr: SocketAddr,
    admin: SocketAddr,
}

fn standin(subcommand: &str, settings: &Path) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_sassafrasspool-standin"));
    command.arg(subcommand).arg("--settings").arg(settings);
    command
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped());
    command
}

fn write_settings(name: &str, text: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).unwrap();
    path
}

fn first_line(child: &mut Child) -> String {
    let mut line = String::new();
    BufReader::new(child.stdout.as_mut().unwrap())
        .read_line(&mut line)
        .unwrap();
    line
}

fn send_signal(child: &Child, name: &str) {
    let status = Command::new("kill")
        .args(["-s", name, &child.id().to_string()])
        .status();
    assert!(status.unwrap().success());
}

struct ProcessCase {
    subcommand: &'static str,
    settings: &'static str,
    path: &'static str,
    status: StatusCode,
    signal: &'static str,
}

#[rstest]
#[case::platform(ProcessCase { subcommand: "platform", settings: "reads_per_s: 100\n", path: "/v1/catalogue", status: StatusCode::NOT_FOUND, signal: "TERM" })]
#[case::target(ProcessCase { subcommand: "target", settings: "slots: 6\nservice: {kinds_us: {approval: 20}, paths: {/adjuster: approval}}\n", path: "/healthz", status: StatusCode::OK, signal: "INT" })]
#[tokio::test]
async fn runs_until_a_signal_stops_it(#[case] case: ProcessCase) {
    let path = write_settings(&format!("{}.yaml", case.subcommand), case.settings);
    let mut child = standin(case.subcommand, &path)
        .arg("--print-addrs")
        .spawn()
        .unwrap();
    let addrs: Addrs = serde_json::from_str(&first_line(&mut child)).unwrap();
    let answer = Caller::connect(addrs.addr)
        .await
        .get(case.path)
        .await
        .unwrap();
    assert_eq!(answer.status(), case.status);
    let stats = Caller::connect(addrs.admin)
        .await
        .get("/stats")
        .await
        .unwrap();
    assert_eq!(stats.status(), StatusCode::OK);
    send_signal(&child, case.signal);
    assert!(child.wait().unwrap().success());
}

#[rstest]
#[case::unknown_field("platform", "reeds_per_s: 100\n", "reeds_per_s")]
#[case::no_slots("target", "slots: 0\n", "slots")]
#[case::missing_file_to_publish(
    "platform",
    "catalogue: /nowhere/catalogue.yaml\n",
    "/nowhere/catalogue.yaml"
)]
fn an_error_names_the_invalid_setting(
    #[case] subcommand: &str,
    #[case] text: &str,
    #[case] reason: &str,
) {
    let path = write_settings(&format!("bad-{reason}.yaml").replace('/', "-"), text);
    let Output { status, stderr, .. } = standin(subcommand, &path).output().unwrap();
    assert!(!status.success());
    let message = String::from_utf8(stderr).unwrap();
    assert!(
        message.contains("settings") && message.contains(reason),
        "{message}"
    );
}
