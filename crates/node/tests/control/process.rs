//! The node as a process of its own.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::time::Duration;

use rstest::rstest;
use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;
use sassafrasspool_core::Phase;
use sassafrasspool_standin::Platform;
use sassafrasspool_standin::PlatformSettings;
use sassafrasspool_standin::Target;
use sassafrasspool_standin::TargetSettings;
use sassafrasspool_wire::admin::Status;
use tempfile::NamedTempFile;
use tokio_util::sync::CancellationToken;

use crate::support::CATALOGUE;
use crate::support::http_text;
use crate::support::settings_text;

/// A node's process, which is ended with its handle.
#[derive(Debug)]
struct Process {
    child: Child,
    admin: SocketAddr,
    _settings: NamedTempFile,
}

impl Process {
    /// Starts the program and reads from its log where it listens.
    fn start(settings: &str) -> Process {
        let mut file = NamedTempFile::new().expect("a file");
        file.write_all(settings.as_bytes()).expect("written");
        let mut child = Command::new(env!("CARGO_BIN_EXE_sassafrasspool-node"))
            .arg("--settings")
            .arg(file.path())
            .stderr(Stdio::piped())
            .spawn()
            .expect("a process");
        let log = child.stderr.take().expect("its log");
        let mut lines = BufReader::new(log).lines();
        let admin = loop {
            let line = lines.next().expect("a line that tells").expect("text");
            if let Some(admin) = admin_of(&line) {
                break admin;
            }
        };
        // The log is read to its end, so that the process never waits for it.
        std::thread::spawn(move || lines.for_each(drop));
        Process {
            child,
            admin,
            _settings: file,
        }
    }

    fn signal(&self, signal: Signal) {
        let pid = i32::try_from(self.child.id()).expect("a process id");
        let pid = Pid::from_raw(pid).expect("a process id");
        kill_process(pid, signal).expect("signalled");
    }

    async fn until_phase(&self, phase: Phase) {
        for _ in 0..6_000 {
            let (_, text) = http_text("GET", self.admin, "/status").await;
            let status: Option<Status> = serde_json::from_str(&text).ok();
            if status.is_some_and(|status| status.phase == phase) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        panic!("the node isn't {phase} within 30 s");
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

fn admin_of(line: &str) -> Option<SocketAddr> {
    let line: serde_json::Value = serde_json::from_str(line).ok()?;
    line["fields"]["admin"].as_str()?.parse().ok()
}

#[rstest]
#[case::terminate(Signal::TERM)]
#[case::interrupt(Signal::INT)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn signal_ends_the_node_without_a_cut(#[case] signal: Signal) {
    let cancel = CancellationToken::new();
    let platform = Platform::start(PlatformSettings::default(), cancel.clone());
    let platform = platform.await.expect("a platform");
    let target = Target::start(TargetSettings::default(), cancel.clone());
    let target = target.await.expect("a target");
    platform.publish_instances(&[]).expect("a list");
    platform.publish_catalogue(CATALOGUE).expect("a catalogue");
    let mut node = Process::start(&settings_text(0, target.addr(), platform.addr()));
    node.until_phase(Phase::Ready).await;
    node.signal(signal);
    assert_eq!(node.ended().await.code(), Some(0));
}

// The platform and the target are both away. A node that can't become ready
// must still end when it is told to.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn node_that_never_was_ready_ends_too() {
    let nowhere = "127.0.0.1:1".parse().expect("an address");
    let mut node = Process::start(&settings_text(0, nowhere, nowhere));
    node.until_phase(Phase::Starting).await;
    node.signal(Signal::TERM);
    assert_eq!(node.ended().await.code(), Some(0));
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
