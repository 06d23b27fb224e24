//! The processes of a run, and the links between them.

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use miette::IntoDiagnostic;
use miette::miette;
use sassafrasspool_bench::load::LedgerRun;
use sassafrasspool_bench::load::Ports;
use sassafrasspool_bench::load::admin;
use sassafrasspool_core::Instance;
use serde_json::json;
use tempfile::TempDir;
use tokio::time::Instant;

use self::builder::FleetBuilder;
use crate::catalogue;
use crate::standin::StandIn;

pub use self::member::Member;

mod builder;
mod member;

/// The most seed peers that the settings of each node name.
const MAX_SEEDS: usize = 3;

/// How long a node may take to listen, and all nodes to be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// All processes except those of the callers. They are killed when this value is dropped.
#[derive(Debug)]
pub struct Fleet {
    /// The platform.
    pub platform: StandIn,
    /// The instances in the order of their numbers.
    pub members: Vec<Member>,
    dir: TempDir,
    _ports: Ports,
}

impl Fleet {
    /// Starts the platform, all targets and all nodes, and waits until each node is ready.
    ///
    /// # Errors
    ///
    /// Fails if a process can't be started or isn't ready in time.
    pub async fn start(nodes: usize) -> miette::Result<Fleet> {
        let dir = tempfile::tempdir().into_diagnostic()?;
        let mut builder = FleetBuilder::new(dir.path());
        let platform = builder.start_platform().await?;
        let mut members = Vec::new();
        for n in 0..nodes {
            members.push(builder.start_member(n, platform.addr).await?);
        }
        let fleet = Fleet {
            platform,
            members,
            dir,
            _ports: builder.into_ports(),
        };
        fleet.publish_initial().await?;
        for (n, member) in fleet.members.iter().enumerate() {
            fleet.write_seeds(n).into_diagnostic()?;
            member.start_node().await.into_diagnostic()?;
        }
        fleet.wait_until_ready().await?;
        Ok(fleet)
    }

    /// The directory with the files of this run.
    pub fn dir(&self) -> &Path {
        self.dir.path()
    }

    /// Reads the requests that all targets ran from their ledgers.
    ///
    /// # Errors
    ///
    /// Fails if a target doesn't answer or its ledger is incomplete.
    pub async fn ledger_runs(&self) -> miette::Result<Vec<LedgerRun>> {
        let mut runs = Vec::new();
        for (instance, member) in self.members.iter().enumerate() {
            let pages = member.target.ledger().await?;
            let pages = pages.runs.into_iter();
            runs.extend(pages.map(|run| LedgerRun { instance, run }));
        }
        Ok(runs)
    }

    /// Keeps settings, logs and records on disk, and returns their directory.
    pub fn keep_files(self) -> PathBuf {
        self.dir.keep()
    }

    /// The request body that publishes an instance list.
    pub fn list_body(list: &[Instance]) -> String {
        json!({ "instances": list }).to_string()
    }

    async fn publish_initial(&self) -> miette::Result<()> {
        let list: Vec<Instance> = self.members.iter().map(|m| m.instance.clone()).collect();
        let platform = &self.platform;
        platform
            .publish("/catalogue", catalogue::text(0, &[]))
            .await?;
        platform
            .publish("/instances", Fleet::list_body(&list))
            .await
    }

    fn write_seeds(&self, n: usize) -> std::io::Result<()> {
        let member = &self.members[n];
        let others = self.members.iter().enumerate();
        let others = others.filter(|(other, _)| *other != n);
        let seeds: Vec<SocketAddr> = others
            .map(|(_, member)| member.instance.control)
            .take(MAX_SEEDS)
            .collect();
        let text = std::fs::read_to_string(&member.settings)?;
        std::fs::write(
            &member.settings,
            text.replace("seeds: []", &seeds_line(&seeds)),
        )
    }

    async fn wait_until_ready(&self) -> miette::Result<()> {
        let end = Instant::now() + READY_TIMEOUT;
        for member in &self.members {
            if !admin::wait_until_ready(member.admin, end).await {
                let log = std::fs::read_to_string(&member.log).unwrap_or_default();
                return Err(miette!(
                    "node {} isn't ready; its log: {log}",
                    member.instance.id
                ));
            }
        }
        Ok(())
    }
}

fn seeds_line(seeds: &[SocketAddr]) -> String {
    let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
    format!("seeds: [{}]", seeds.join(", "))
}
