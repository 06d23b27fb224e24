//! The node as a separate process.
//!
//! These tests are a separate program: while a test starts a process, the forked copy holds
//! every listener of the program for a moment, and a node that restarts in the same program
//! would find its port in use.

#[path = "../control/common.rs"]
mod common;

use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use rstest::rstest;
use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;
use sassafrasspool_core::Phase;
use sassafrasspool_node::NodeAddrs;
use sassafrasspool_node::Settings;
use sassafrasspool_standin::Platform;
use sassafrasspool_standin::PlatformSettings;
use sassafrasspool_standin::Target;
use sassafrasspool_standin::TargetSettings;
use sassafrasspool_wire::admin::AuditPage;
use sassafrasspool_wire::admin::Status;
use serde_json::Value;
use tempfile::NamedTempFile;
use tokio_util::sync::CancellationToken;

use crate::common::CATALOGUE;
use crate::common::catalogue_with_long_deadline;
use crate::common::instance_of;
use crate::common::request_text;
use crate::common::settings_text;
use crate::common::slow_target;
use crate::common::try_request_text;

/// The platform and the target of a node's process.
#[derive(Debug)]
struct Environment {
    platform: Platform,
    target: Target,
}

impl Environment {
    async fn start(target: TargetSettings) -> Environment {
        let cancel = CancellationToken::new();
        let platform = Platform::start(PlatformSettings::default(), cancel.clone());
        let target = Target::start(target, cancel);
        Environment {
            platform: platform.await.expect("the platform starts"),
            target: target.await.expect("the target starts"),
        }
    }

    /// Publishes a catalogue and an empty instance list.
    fn publish_with_empty_list(&self) {
        self.platform.publish_instances(&[]).expect("a valid list");
        let published = self.platform.publish_catalogue(CATALOGUE);
        published.expect("a valid catalogue");
    }

    /// The settings of a node of this platform and target, as YAML.
    fn settings(&self) -> String {
        settings_text(0, self.target.addr(), self.platform.addr())
    }
}

/// A node's process, which is killed when this is dropped.
#[derive(Debug)]
struct NodeProcess {
    child: Child,
    addrs: NodeAddrs,
    log: Arc<Mutex<Vec<Value>>>,
    settings: NamedTempFile,
}

impl NodeProcess {
    /// Starts the program and reads its addresses from its log.
    fn start(settings: &str) -> NodeProcess {
        let mut file = NamedTempFile::new().expect("a temporary file");
        file.write_all(settings.as_bytes())
            .expect("the file is written");
        let mut child = Command::new(env!("CARGO_BIN_EXE_sassafrasspool-node"))
            .arg("--settings")
            .arg(file.path())
            .stdout(Stdio::piped())
            .spawn()
            .expect("the process starts");
        let stdout = child.stdout.take().expect("a piped stdout");
        let mut lines = BufReader::new(stdout).lines();
        let addrs = loop {
            let line = lines
                .next()
                .expect("a log line with the addresses")
                .expect("a UTF-8 line");
            if let Some(addrs) = parse_addrs(&line) {
                break addrs;
            }
        };
        // The log is read to its end so that the process never blocks on a full pipe.
        let log: Arc<Mutex<Vec<Value>>> = Arc::default();
        let lines_read = Arc::clone(&log);
        std::thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                let line = serde_json::from_str(&line).expect("a line of JSON");
                lines_read.lock().expect("an unpoisoned log").push(line);
            }
        });
        NodeProcess {
            child,
            addrs,
            log,
            settings: file,
        }
    }

    fn send_signal(&self, signal: Signal) {
        let pid = i32::try_from(self.child.id()).expect("a valid process id");
        let pid = Pid::from_raw(pid).expect("a valid process id");
        kill_process(pid, signal).expect("the signal is sent");
    }

    async fn wait_for_phase(&self, phase: Phase) {
        self.wait_for_status(|status| status.phase == phase).await;
    }

    async fn wait_for_status(&self, condition: impl Fn(&Status) -> bool) {
        for _ in 0..6_000 {
            let (_, text) = request_text("GET", self.addrs.admin, "/status").await;
            let status: Option<Status> = serde_json::from_str(&text).ok();
            if status.is_some_and(|status| condition(&status)) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        panic!("the node doesn't reach the expected status within 30 s");
    }

    async fn wait_for_log_line(&self, matches: impl Fn(&Value) -> bool) {
        for _ in 0..6_000 {
            if self
                .log
                .lock()
                .expect("an unpoisoned log")
                .iter()
                .any(&matches)
            {
                return;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        panic!("no matching log line within 30 s: {:?}", self.log);
    }

    async fn wait_for_exit(&mut self) -> ExitStatus {
        for _ in 0..6_000 {
            if let Some(status) = self.child.try_wait().expect("the state of the process") {
                return status;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        panic!("the process doesn't exit within 30 s");
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        // Both fail only if the process has already ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn parse_addrs(line: &str) -> Option<NodeAddrs> {
    let line: Value = serde_json::from_str(line).ok()?;
    let addr = |name: &str| line["fields"][name].as_str()?.parse().ok();
    Some(NodeAddrs {
        ingress: addr("ingress")?,
        egress: addr("egress")?,
        traffic: addr("traffic")?,
        control: addr("control")?,
        admin: addr("admin")?,
    })
}

#[rstest]
#[case::terminate(Signal::TERM)]
#[case::interrupt(Signal::INT)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_signal_stops_the_node_with_exit_code_0(#[case] signal: Signal) {
    let env = Environment::start(TargetSettings::default()).await;
    env.publish_with_empty_list();
    let mut node = NodeProcess::start(&env.settings());
    node.wait_for_phase(Phase::Ready).await;
    node.send_signal(signal);
    assert_eq!(node.wait_for_exit().await.code(), Some(0));
}

/// Guards against a node that can't be stopped before it is ready.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_signal_stops_a_node_that_never_was_ready() {
    let closed = "127.0.0.1:1".parse().expect("a valid address");
    let mut node = NodeProcess::start(&settings_text(0, closed, closed));
    node.wait_for_phase(Phase::Starting).await;
    node.send_signal(Signal::TERM);
    assert_eq!(node.wait_for_exit().await.code(), Some(0));
}

/// Guards against a drain that an operator can't abort.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_second_signal_stops_the_node_at_once() {
    let env = Environment::start(slow_target(Duration::from_secs(50))).await;
    let settings = env.settings();
    let mut node = NodeProcess::start(&settings);
    let settings = Settings::parse(&settings).expect("valid settings");
    let list = [instance_of(&settings, node.addrs)];
    let platform = &env.platform;
    platform.publish_instances(&list).expect("a valid list");
    platform
        .publish_catalogue(&catalogue_with_long_deadline())
        .expect("a valid catalogue");
    node.wait_for_phase(Phase::Ready).await;
    let ingress = node.addrs.ingress;
    let call = tokio::spawn(async move {
        try_request_text("GET", ingress, "/workshop/1").await;
    });
    node.wait_for_status(|status| status.in_flight > 0).await;
    node.send_signal(Signal::TERM);
    node.wait_for_phase(Phase::Draining).await;
    node.send_signal(Signal::TERM);
    assert_eq!(node.wait_for_exit().await.code(), Some(3));
    call.await.expect("the task doesn't panic");
}

/// Guards against changes of state without a log line.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn phases_and_applied_versions_are_logged() {
    let env = Environment::start(TargetSettings::default()).await;
    env.publish_with_empty_list();
    let mut node = NodeProcess::start(&env.settings());
    node.wait_for_phase(Phase::Ready).await;
    node.send_signal(Signal::TERM);
    node.wait_for_exit().await;
    let applied = |line: &Value| {
        line["target"] == "audit"
            && line["fields"]["event"] == "applied"
            && line["fields"]["stream"] == "catalogue"
            && line["fields"]["from"] == "source"
    };
    let gone =
        |line: &Value| line["fields"]["event"] == "phase" && line["fields"]["phase"] == "gone";
    node.wait_for_log_line(applied).await;
    node.wait_for_log_line(gone).await;
}

/// Guards against a process that continues with stale state after a pause.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_resumed_process_applies_the_newest_version() {
    let env = Environment::start(TargetSettings::default()).await;
    env.publish_with_empty_list();
    let text = env
        .settings()
        .replace("spread: {", "spread: {pause_bound_ms: 500, ");
    let node = NodeProcess::start(&text);
    node.wait_for_phase(Phase::Ready).await;

    node.send_signal(Signal::STOP);
    tokio::time::sleep(Duration::from_secs(1)).await;
    let next = CATALOGUE.replace("weight: 1", "weight: 2");
    let next = env
        .platform
        .publish_catalogue(&next)
        .expect("a valid catalogue");
    node.send_signal(Signal::CONT);
    node.wait_for_status(|status| {
        let held = status.held.catalogue.as_ref();
        held.is_some_and(|version| version.revision == next.get())
    })
    .await;
    let (_, text) = request_text("GET", node.addrs.admin, "/audit").await;
    let page: AuditPage = serde_json::from_str(&text).expect("an audit page");
    assert!(page.records.iter().any(|it| it.event == "paused"));
}

#[test]
fn invalid_settings_end_the_program_with_a_list_of_all_faults() {
    let mut file = NamedTempFile::new().expect("a temporary file");
    file.write_all(b"instance: WD 1\nzone: b\n")
        .expect("the file is written");
    let output = Command::new(env!("CARGO_BIN_EXE_sassafrasspool-node"))
        .arg("--settings")
        .arg(file.path())
        .output()
        .expect("the process starts");
    assert_eq!(output.status.code(), Some(1));
    let stderr = String::from_utf8_lossy(&output.stderr);
    for fault in ["instance id", "zone: is unknown", "listen: is missing"] {
        assert!(stderr.contains(fault), "{fault} is missing in {stderr}");
    }
}

/// Guards against a change of settings that ends the process or is applied in part.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_running_node_reloads_valid_settings_and_rejects_invalid_ones() {
    let env = Environment::start(TargetSettings::default()).await;
    env.publish_with_empty_list();
    let text = env.settings();
    let mut node = NodeProcess::start(&text);
    node.wait_for_phase(Phase::Ready).await;
    let write = |node: &NodeProcess, text: &str| {
        std::fs::write(node.settings.path(), text).expect("the file is written");
    };
    write(&node, "instance: [");
    node.send_signal(Signal::HUP);
    let has_message = |line: &Value, message: &str| line["fields"]["message"] == message;
    let refused = "settings refused, the former stay in force";
    node.wait_for_log_line(|line| has_message(line, refused))
        .await;
    let other = text.replace("service: workshop-desk", "service: adjuster-desk");
    let other = other.replace("probe_ms: 20", "probe_ms: 30");
    write(&node, &other);
    node.wait_for_log_line(|line| {
        let fields = &line["fields"];
        has_message(line, "settings have changed")
            && fields["service"] == "adjuster-desk"
            && fields["wait_for_restart"] == "target"
    })
    .await;
    node.wait_for_phase(Phase::Ready).await;
    node.send_signal(Signal::TERM);
    assert_eq!(node.wait_for_exit().await.code(), Some(0));
}
