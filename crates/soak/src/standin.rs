//! Stand-ins that run as processes and are controlled through their admin ports.

use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use http::StatusCode;
use miette::IntoDiagnostic;
use miette::miette;
use rustix::process::Signal;
use sassafrasspool_bench::load::admin;
use sassafrasspool_standin::target::LedgerEntries;
use serde::Serialize;
use serde_json::json;
use tokio::time::Instant;

use crate::child::Child;

/// The program of the stand-ins.
const PROGRAM: &str = "sassafrasspool-standin";

/// How long a stand-in may take to answer after its start.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// The time between two requests to a stand-in that isn't ready yet.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A running stand-in for the platform or a target.
#[derive(Debug)]
pub struct StandIn {
    /// The address at which it serves.
    pub addr: SocketAddr,
    admin: SocketAddr,
    child: Child,
}

/// The subcommand and the files of a stand-in.
#[derive(Debug)]
pub struct StandInFiles {
    /// The subcommand, `platform` or `target`.
    pub subcommand: &'static str,
    /// The settings file.
    pub settings: PathBuf,
    /// The file for its output.
    pub log: PathBuf,
}

impl StandIn {
    /// Starts a stand-in on the two addresses in its settings, and waits until it answers.
    ///
    /// # Errors
    ///
    /// Fails if it can't be started or doesn't answer in time.
    pub async fn start(
        files: &StandInFiles,
        addr: SocketAddr,
        admin: SocketAddr,
    ) -> miette::Result<StandIn> {
        let args = [
            OsString::from(files.subcommand),
            OsString::from("--settings"),
            files.settings.clone().into_os_string(),
        ];
        let child = Child::start(PROGRAM, &args, &files.log).into_diagnostic()?;
        let end = Instant::now() + READY_TIMEOUT;
        while admin::get(admin, "/stats").await.is_none() {
            if Instant::now() >= end {
                return Err(miette!(
                    "the stand-in with settings {} isn't ready",
                    files.settings.display()
                ));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(StandIn { addr, admin, child })
    }

    /// Sets switches of the stand-in.
    ///
    /// # Errors
    ///
    /// Fails if the stand-in refuses or doesn't answer.
    pub async fn set_switches(&self, switches: &impl Serialize) -> miette::Result<()> {
        self.post("/switches", switches).await
    }

    /// Makes a target drop all its connections and refuse new ones.
    ///
    /// # Errors
    ///
    /// As [`StandIn::set_switches`].
    pub async fn crash(&self) -> miette::Result<()> {
        self.post("/crash", &json!({})).await
    }

    /// Starts a crashed target again on its port.
    ///
    /// # Errors
    ///
    /// As [`StandIn::set_switches`].
    pub async fn restart(&self) -> miette::Result<()> {
        self.post("/restart", &json!({})).await
    }

    /// Reads the requests that a target ran.
    ///
    /// # Errors
    ///
    /// Fails if the target doesn't answer or its ledger is incomplete.
    pub async fn ledger(&self) -> miette::Result<LedgerEntries> {
        let value = admin::get(self.admin, "/ledger").await;
        let value = value.ok_or_else(|| miette!("{} doesn't serve its ledger", self.admin))?;
        let ledger: LedgerEntries = serde_json::from_value(value).into_diagnostic()?;
        match ledger.unrecorded {
            0 => Ok(ledger),
            lost => Err(miette!("the ledger of {} lacks {lost} runs", self.admin)),
        }
    }

    /// Publishes a document on the platform.
    ///
    /// # Errors
    ///
    /// As [`StandIn::set_switches`].
    pub async fn publish(&self, path: &str, body: String) -> miette::Result<()> {
        let status = admin::put(self.admin, path, body).await;
        self.check_accepted(path, status)
    }

    /// Pauses the process, or resumes it.
    ///
    /// # Errors
    ///
    /// Fails if the process has exited.
    pub fn set_frozen(&self, frozen: bool) -> std::io::Result<()> {
        self.child.signal(match frozen {
            true => Signal::STOP,
            false => Signal::CONT,
        })
    }

    async fn post(&self, path: &str, body: &impl Serialize) -> miette::Result<()> {
        let body = serde_json::to_string(body).into_diagnostic()?;
        let status = admin::post(self.admin, path, body).await;
        self.check_accepted(path, status)
    }

    fn check_accepted(&self, path: &str, status: Option<StatusCode>) -> miette::Result<()> {
        match status {
            Some(status) if status.is_success() => Ok(()),
            status => Err(miette!("{} {path}: {status:?}", self.admin)),
        }
    }
}
