//! Loads a deployment and runs its demo from start to report.

use std::fs;
use std::sync::Arc;
use std::time::Duration;

use sassafrasspool_core::Error;
use sassafrasspool_core::Result;
use sassafrasspool_core::Step;
use tokio::time::Instant;
use tokio::time::sleep;

use self::script::Script;
use super::callers;
use super::callers::Callers;
use super::changes;
use super::changes::WorkingCopy;
use super::deployment::Deployment;
use super::flags;
use super::fleet::Fleet;
use super::member::ServiceFile;
use super::report::Report;
use super::results::DemoResults;
use super::routes::bind_routes;
use crate::chaos::log::Log;
use crate::load::CallKind;

pub(super) use self::script::ScriptResults;

mod script;

/// How long a whole demo may take.
pub(super) const MAX_DURATION: Duration = Duration::from_secs(28);

/// Requests a second if no rate is given.
const DEFAULT_RATE_PER_S: u32 = 300;
/// Most requests a second.
const MAX_RATE_PER_S: u32 = 2_000;
/// How long callers call before the first scripted event and after the last.
const SETTLE_TIME: Duration = Duration::from_millis(500);

/// A deployment and the load that the demo runs on it.
#[derive(Debug)]
pub(super) struct Scenario {
    name: String,
    deployment: Deployment,
    copy: WorkingCopy,
    kinds: Vec<CallKind>,
    rate: u32,
    seed: u64,
}

impl Scenario {
    /// Reads the directory of a deployment.
    ///
    /// # Errors
    ///
    /// Fails if a file can't be read or has faults, if a call has no route or
    /// the rate is out of bounds.
    pub(super) fn load(args: &flags::Run) -> Result<Scenario> {
        let dir = &args.deployment;
        let rate = args.rate.unwrap_or(DEFAULT_RATE_PER_S);
        if !(1..=MAX_RATE_PER_S).contains(&rate) {
            let reason = format!("--rate must be 1 to {MAX_RATE_PER_S}, is {rate}");
            return Err(Error::new(Step::Check, reason));
        }
        let file = dir.join("catalogue.yaml");
        let text = fs::read_to_string(&file).map_err(|cause| {
            let reason = format!("{} can't be read", file.display());
            Error::new(Step::Settings, reason).with_cause(cause)
        })?;
        let items = changes::parse_items(&text)?;
        let deployment = Deployment::load(&dir.join("deployment.yaml"))?;
        let kinds = callers::call_kinds(&deployment.calls, &bind_routes(items.clone())?)?;
        let name = dir.file_name().unwrap_or(dir.as_os_str());
        Ok(Scenario {
            name: name.to_string_lossy().into_owned(),
            copy: WorkingCopy::new(items)?,
            deployment,
            kinds,
            rate,
            seed: args.seed.unwrap_or(1),
        })
    }

    /// Starts the fleet, runs the script under load, stops the fleet and reports.
    ///
    /// # Errors
    ///
    /// Fails if an event doesn't complete in time. The error names the directory
    /// of the logs.
    pub(super) async fn run(self) -> Result<Report> {
        let log = Arc::new(Log::default());
        let service_times = self.service_times();
        let text = self.copy.render();
        let began = Instant::now();
        let mut fleet = Fleet::start(&self.deployment, text, &service_times, log).await?;
        let nodes = fleet.members.len();
        println!(
            "{nodes} nodes are ready after {:.1} s",
            began.elapsed().as_secs_f64()
        );
        match self.run_on(&mut fleet).await {
            Ok(report) if report.passed() => Ok(report),
            Ok(report) => Ok(report.with_logs(fleet.keep_logs())),
            Err(err) => {
                let logs = fleet.keep_logs();
                Err(Error::new(
                    Step::Check,
                    format!("{err}; logs are in {logs}"),
                ))
            }
        }
    }

    async fn run_on(self, fleet: &mut Fleet) -> Result<Report> {
        let entries = fleet.members.iter().map(|member| member.listen.ingress);
        let entries = entries.collect();
        let callers = Callers::start(self.kinds, entries, self.rate, self.seed, MAX_DURATION);
        let began = Instant::now();
        sleep(SETTLE_TIME).await;
        let script_results = Script::new(self.copy, fleet).run().await?;
        sleep(SETTLE_TIME).await;
        let load_duration = began.elapsed();
        let load = callers.stop().await?;
        let results = DemoResults::gather(fleet, load).await?;
        Ok(Report::new(
            self.name,
            &self.deployment,
            load_duration,
            script_results,
            results,
        ))
    }

    fn service_times(&self) -> ServiceFile {
        let calls = self.deployment.calls.iter().zip(&self.kinds);
        let times = calls.filter_map(|(call, kind)| {
            let us = u64::try_from(call.service_time.as_micros()).ok()?;
            Some((kind.name.to_owned(), us))
        });
        ServiceFile {
            kinds_us: times.collect(),
        }
    }
}
