//! Runs the soak for a few seconds with the real programs.

use std::process::Command;
use std::process::Output;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;

const SOAK: &str = env!("CARGO_BIN_EXE_sassafrasspool-soak");

fn soak(args: &[&str]) -> Output {
    let ran = Command::new(SOAK).args(args).output();
    ran.expect("a process")
}

fn report(output: &Output) -> Value {
    let text = String::from_utf8_lossy(&output.stdout);
    let stderr = String::from_utf8_lossy(&output.stderr);
    serde_json::from_str(text.trim()).unwrap_or_else(|err| panic!("{err}: {text}{stderr}"))
}

// Nodes are stopped, killed and frozen, links are cut and reset, and the platform serves
// stale answers. Requests get lost, or callers receive a wrong outcome.
#[test]
fn a_short_run_has_no_violation() {
    let output = soak(&["run", "--seed", "2", "--nodes", "6", "--seconds", "6"]);
    let report = report(&output);
    assert_eq!(report["kept"], true, "{report:#}");
    assert!(output.status.success());
    assert!(report["answered"].as_u64() > Some(100), "{report:#}");
}

#[test]
fn options_out_of_range_are_rejected() {
    let output = soak(&["run", "--nodes", "1"]);
    let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(!output.status.success());
    assert!(stderr.contains("nodes must be 2 to"), "{stderr}");
}

// The soak is killed in the middle of a run. If its child processes keep running, they
// occupy ports and memory.
#[test]
fn a_killed_soak_leaves_no_process_behind() {
    let mut soak = Command::new(SOAK)
        .args(["run", "--seed", "3", "--nodes", "2", "--seconds", "30"])
        .stdout(Stdio::null())
        .spawn()
        .expect("a process");
    let parent = soak.id();
    let children = poll_until(|| Some(children_of(parent)).filter(|all| all.len() >= 5));
    soak.kill().expect("killed");
    soak.wait().expect("its end");
    poll_until(|| children.iter().all(|pid| !is_running(*pid)).then_some(()));
}

/// Polls until there is a value; fails the test after 20 s.
fn poll_until<T>(mut poll: impl FnMut() -> Option<T>) -> T {
    let end = Instant::now() + Duration::from_secs(20);
    loop {
        if let Some(found) = poll() {
            return found;
        }
        assert!(Instant::now() < end, "not in time");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// The processes whose parent is `parent`.
fn children_of(parent: u32) -> Vec<u32> {
    let file = format!("/proc/{parent}/task/{parent}/children");
    let text = std::fs::read_to_string(file).unwrap_or_default();
    let ids = text.split_whitespace().map(str::parse);
    ids.filter_map(Result::ok).collect()
}

/// Whether a process runs; a zombie doesn't.
fn is_running(pid: u32) -> bool {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let state = stat
        .rsplit(')')
        .next()
        .and_then(|rest| rest.trim().chars().next());
    state.is_some_and(|state| state != 'Z')
}
