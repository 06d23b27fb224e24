//! The node as a process of its own.
//!
//! These tests have a program of their own: while one starts a process, a copy
//! of it holds every listener for a moment, and a node that restarts in the
//! same program would find its port in use.

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
use crate::common::http_text;
use crate::common::instance;
use crate::common::patient;
use crate::common::settings_text;
use crate::common::slow_target;
use crate::common::try_http_text;

/// What a node's process needs around it.
#[derive(Debug)]
struct Around {
    platform: Platform,
    target: Target,
}

impl Around {
    async fn start(target: TargetSettings) -> Around {
        let cancel = CancellationToken::new();
        let platform = Platform::start(PlatformSettings::default(), cancel.clone());
        let target = Target::start(target, cancel);
        Around {
            platform: platform.await.expect("a platform"),
            target: target.await.expect("a target"),
        }
    }

    /// Publishes a catalogue and a list that doesn't name the node yet.
    fn publish_without_nodes(&self) {
        self.platform.publish_instances(&[]).expect("a list");
        let published = self.platform.publish_catalogue(CATALOGUE);
        published.expect("a catalogue");
    }

    /// The settings of a node here.
    fn settings(&self) -> String {
        settings_text(0, self.target.addr(), self.platform.addr())
    }
}

/// A node's process, which is ended with its handle.
#[derive(Debug)]
struct Process {
    child: Child,
    addrs: NodeAddrs,
    log: Arc<Mutex<Vec<Value>>>,
    settings: NamedTempFile,
}

impl Process {
    /// Starts the program and reads from its log where it listens.
    fn start(settings: &str) -> Process {
        let mut file = NamedTempFile::new().expect("a file");
        file.write_all(settings.as_bytes()).expect("written");
        let mut child = Command::new(env!("CARGO_BIN_EXE_sassafrasspool-node"))
            .arg("--settings")
            .arg(file.path())
            .stdout(Stdio::piped())
            .spawn()
            .expect("a process");
        let log = child.stdout.take().expect("its log");
        let mut lines = BufReader::new(log).lines();
        let addrs = loop {
            let line = lines.next().expect("a line that tells").expect("text");
            if let Some(addrs) = addrs_of(&line) {
                break addrs;
            }
        };
        // The log is read to its end, so that the process never waits for it.
        let log: Arc<Mutex<Vec<Value>>> = Arc::default();
        let kept = Arc::clone(&log);
        std::thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                let line = serde_json::from_str(&line).expect("a line of JSON");
                kept.lock().expect("the log").push(line);
            }
        });
        Process {
            child,
            addrs,
            log,
            settings: file,
        }
    }

    fn signal(&self, signal: Signal) {
        let pid = i32::try_from(self.child.id()).expect("a process id");
        let pid = Pid::from_raw(pid).expect("a process id");
        kill_process(pid, signal).expect("signalled");
    }

    async fn until_phase(&self, phase: Phase) {
        self.until(|status| status.phase == phase).await;
    }

    async fn until(&self, reached: impl Fn(&Status) -> bool) {
        for _ in 0..6_000 {
            let (_, text) = http_text("GET", self.addrs.admin, "/status").await;
            let status: Option<Status> = serde_json::from_str(&text).ok();
            if status.is_some_and(|status| reached(&status)) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        panic!("the node's status isn't so within 30 s");
    }

    async fn until_logged(&self, wanted: impl Fn(&Value) -> bool) {
        for _ in 0..6_000 {
            if self.log.lock().expect("the log").iter().any(&wanted) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        panic!("no such line within 30 s: {:?}", self.log);
    }

    async fn ended(&mut self) -> ExitStatus {
        for _ in 0..6_000 {
            if let Some(status) = self.child.try_wait().expect("its state") {
                return status;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        panic!("the process hasn't ended within 30 s");
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Both fail only if it has ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn addrs_of(line: &str) -> Option<NodeAddrs> {
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
async fn signal_ends_the_node_without_a_cut(#[case] signal: Signal) {
    let around = Around::start(TargetSettings::default()).await;
    around.publish_without_nodes();
    let mut node = Process::start(&around.settings());
    node.until_phase(Phase::Ready).await;
    node.signal(signal);
    assert_eq!(node.ended().await.code(), Some(0));
}

/// Guards against a node that can't be stopped before it is ready.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn node_that_never_was_ready_ends_too() {
    let nowhere = "127.0.0.1:1".parse().expect("an address");
    let mut node = Process::start(&settings_text(0, nowhere, nowhere));
    node.until_phase(Phase::Starting).await;
    node.signal(Signal::TERM);
    assert_eq!(node.ended().await.code(), Some(0));
}

/// Guards against a drain that an operator can't cut short.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn second_signal_ends_the_node_at_once() {
    let around = Around::start(slow_target(Duration::from_secs(50))).await;
    let settings = around.settings();
    let mut node = Process::start(&settings);
    let settings = Settings::parse(&settings).expect("settings");
    let list = [instance(&settings, node.addrs)];
    let platform = &around.platform;
    platform.publish_instances(&list).expect("a list");
    platform.publish_catalogue(&patient()).expect("a catalogue");
    node.until_phase(Phase::Ready).await;
    let ingress = node.addrs.ingress;
    let answer = tokio::spawn(async move {
        try_http_text("GET", ingress, "/workshop/1").await;
    });
    node.until(|status| status.in_flight > 0).await;
    node.signal(Signal::TERM);
    node.until_phase(Phase::Draining).await;
    node.signal(Signal::TERM);
    assert_eq!(node.ended().await.code(), Some(3));
    answer.await.expect("no panic");
}

/// Guards against changes of state that leave no line in the log.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn changes_of_state_are_logged() {
    let around = Around::start(TargetSettings::default()).await;
    around.publish_without_nodes();
    let mut node = Process::start(&around.settings());
    node.until_phase(Phase::Ready).await;
    node.signal(Signal::TERM);
    node.ended().await;
    let applied = |line: &Value| {
        line["target"] == "audit"
            && line["fields"]["event"] == "applied"
            && line["fields"]["stream"] == "catalogue"
            && line["fields"]["from"] == "source"
    };
    let gone =
        |line: &Value| line["fields"]["event"] == "phase" && line["fields"]["phase"] == "gone";
    node.until_logged(applied).await;
    node.until_logged(gone).await;
}

/// Guards against a woken process that goes on by old beliefs.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn paused_process_wakes_and_catches_up() {
    let around = Around::start(TargetSettings::default()).await;
    around.publish_without_nodes();
    let text = around
        .settings()
        .replace("spread: {", "spread: {pause_bound_ms: 500, ");
    let node = Process::start(&text);
    node.until_phase(Phase::Ready).await;

    node.signal(Signal::STOP);
    tokio::time::sleep(Duration::from_secs(1)).await;
    let next = CATALOGUE.replace("weight: 1", "weight: 2");
    let next = around
        .platform
        .publish_catalogue(&next)
        .expect("a catalogue");
    node.signal(Signal::CONT);
    node.until(|status| {
        let held = status.held.catalogue.as_ref();
        held.is_some_and(|version| version.revision == next.get())
    })
    .await;
    let (_, text) = http_text("GET", node.addrs.admin, "/audit").await;
    let page: AuditPage = serde_json::from_str(&text).expect("a page");
    assert!(page.records.iter().any(|it| it.event == "paused"));
}

#[test]
fn faulty_settings_end_the_program_with_every_fault() {
    let mut file = NamedTempFile::new().expect("a file");
    file.write_all(b"instance: WD 1\nzone: b\n")
        .expect("written");
    let output = Command::new(env!("CARGO_BIN_EXE_sassafrasspool-node"))
        .arg("--settings")
        .arg(file.path())
        .output()
        .expect("a process");
    assert_eq!(output.status.code(), Some(1));
    let told = String::from_utf8_lossy(&output.stderr);
    for fault in ["instance id", "zone: is unknown", "listen: is missing"] {
        assert!(told.contains(fault), "{fault} isn't told in {told}");
    }
}

/// Guards against a change of settings that ends the process or is taken in part.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn settings_change_under_a_running_node() {
    let around = Around::start(TargetSettings::default()).await;
    around.publish_without_nodes();
    let text = around.settings();
    let mut node = Process::start(&text);
    node.until_phase(Phase::Ready).await;
    let write = |node: &Process, text: &str| {
        std::fs::write(node.settings.path(), text).expect("written");
    };
    write(&node, "instance: [");
    node.signal(Signal::HUP);
    let told = |line: &Value, message: &str| line["fields"]["message"] == message;
    let refused = "settings refused, the former stay in force";
    node.until_logged(|line| told(line, refused)).await;
    let other = text.replace("service: workshop-desk", "service: adjuster-desk");
    let other = other.replace("probe_ms: 20", "probe_ms: 30");
    write(&node, &other);
    node.until_logged(|line| {
        let fields = &line["fields"];
        told(line, "settings have changed")
            && fields["service"] == "adjuster-desk"
            && fields["wait_for_restart"] == "target"
    })
    .await;
    node.until_phase(Phase::Ready).await;
    node.signal(Signal::TERM);
    assert_eq!(node.ended().await.code(), Some(0));
}
