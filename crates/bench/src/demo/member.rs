//! One worker of the demo: a target and its node.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;

use sassafrasspool_core::Error;
use sassafrasspool_core::Instance;
use sassafrasspool_core::InstanceId;
use sassafrasspool_core::Result;
use sassafrasspool_core::Step;
use serde::Serialize;

use self::settings::NodeFile;
use self::settings::TargetFile;
use super::process::Process;
use super::role::Role;

pub(super) use self::settings::Listen;
pub(super) use self::settings::ServiceFile;

mod settings;

/// A worker and its two processes, those that are running.
#[derive(Debug)]
pub(super) struct Member {
    /// Its entry in the instance list.
    pub(super) instance: Instance,
    /// The addresses of its node.
    pub(super) listen: Listen,
    /// The admin address of its target, for switches and the ledger.
    pub(super) target_admin: SocketAddr,
    /// The node, unless it was stopped.
    pub(super) node: Option<Process>,
    /// The target, unless it was stopped.
    pub(super) target: Option<Process>,
    dir: PathBuf,
}

/// A worker before its start.
#[derive(Debug)]
pub(super) struct PlannedWorker {
    /// Its entry in the instance list to be published.
    pub(super) instance: Instance,
    /// The addresses of its node.
    pub(super) listen: Listen,
    /// The addresses of its target.
    pub(super) target: TargetAddrs,
}

/// Addresses of a worker's target.
#[derive(Debug, Clone, Copy)]
pub(super) struct TargetAddrs {
    /// For requests.
    pub(super) listen: SocketAddr,
    /// For switches and the ledger.
    pub(super) admin: SocketAddr,
}

impl Member {
    /// Writes the settings of both processes into `dir`.
    ///
    /// # Errors
    ///
    /// Fails if a file can't be written.
    pub(super) fn prepare(
        planned: PlannedWorker,
        platform: SocketAddr,
        service_times: &ServiceFile,
        dir: &Path,
    ) -> Result<Member> {
        let PlannedWorker {
            instance,
            listen,
            target,
        } = planned;
        let member = Member {
            target_admin: target.admin,
            node: None,
            target: None,
            dir: dir.to_owned(),
            instance,
            listen,
        };
        let instance = &member.instance;
        let node = NodeFile::new(instance, listen, target.listen, platform);
        write_settings(&member.file("node.yaml"), &node)?;
        let target = TargetFile::new(instance, target, service_times);
        write_settings(&member.file("target.yaml"), &target)?;
        Ok(member)
    }

    /// The instance's name.
    pub(super) fn id(&self) -> &InstanceId {
        &self.instance.id
    }

    /// Starts the target's process.
    ///
    /// # Errors
    ///
    /// Fails if it can't be started.
    pub(super) fn start_target(&mut self) -> Result<()> {
        self.target = Some(self.start(Role::Target, "target")?);
        Ok(())
    }

    /// Starts the node's process.
    ///
    /// # Errors
    ///
    /// Fails if it can't be started.
    pub(super) fn start_node(&mut self) -> Result<()> {
        self.node = Some(self.start(Role::Node, "node")?);
        Ok(())
    }

    /// Checks that the processes that should run do.
    ///
    /// # Errors
    ///
    /// Fails with the name and exit status of a process that has exited.
    pub(super) fn check_running(&mut self) -> Result<()> {
        let processes = [&mut self.node, &mut self.target];
        processes
            .into_iter()
            .flatten()
            .try_for_each(Process::check_running)
    }

    fn start(&self, role: Role, part: &str) -> Result<Process> {
        let settings = self.file(&format!("{part}.yaml"));
        let log = self.file(&format!("{part}.log"));
        let name = format!("{part} of {}", self.id());
        Process::start(&name, role, &settings, &log)
    }

    fn file(&self, name: &str) -> PathBuf {
        self.dir.join(format!("{}.{name}", self.id()))
    }
}

/// Writes settings as JSON, which is valid YAML.
///
/// # Errors
///
/// Fails if they can't be encoded or written.
pub(super) fn write_settings(file: &Path, settings: &impl Serialize) -> Result<()> {
    let failed = || {
        Error::new(
            Step::Settings,
            format!("{} can't be written", file.display()),
        )
    };
    let text =
        serde_json::to_string_pretty(settings).map_err(|cause| failed().with_cause(cause))?;
    fs::write(file, text).map_err(|cause| failed().with_cause(cause))
}
