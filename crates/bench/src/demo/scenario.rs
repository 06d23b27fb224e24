//! What happens in a demo, in which order.

use std::fs;
use std::sync::Arc;
use std::time::Duration;

use sassafrasspool_core::Error;
use sassafrasspool_core::Result;
use sassafrasspool_core::Step;
use tokio::time::Instant;
use tokio::time::sleep;

use self::play::Play;
use super::callers;
use super::callers::Callers;
use super::changes;
use super::changes::WorkingCopy;
use super::deployment::Deployment;
use super::evidence::Evidence;
use super::flags;
use super::fleet::Fleet;
use super::member::ServiceFile;
use super::report::Report;
use super::routes::routes;
use crate::chaos::log::Log;
use crate::load::CallKind;

pub(super) use self::play::Played;

mod play;

/// How long a demo may take in all.
pub(super) const BOUND: Duration = Duration::from_secs(28);

/// Requests a second unless told otherwise.
const DEFAULT_RATE: u32 = 300;
/// The most requests a second.
const MAX_RATE: u32 = 2_000;
/// How long callers call before anything happens, and after everything did.
const SETTLE_TIME: Duration = Duration::from_millis(500);

/// A deployment that is to be shown.
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
    pub(super) fn load(given: &flags::Run) -> Result<Scenario> {
        let dir = &given.deployment;
        let rate = given.rate.unwrap_or(DEFAULT_RATE);
        if !(1..=MAX_RATE).contains(&rate) {
            let reason = format!("--rate must be 1 to {MAX_RATE}, is {rate}");
            return Err(Error::new(Step::Check, reason));
        }
        let file = dir.join("catalogue.yaml");
        let text = fs::read_to_string(&file).map_err(|cause| {
            let reason = format!("{} can't be read", file.display());
            Error::new(Step::Settings, reason).with_cause(cause)
        })?;
        let items = changes::items(&text)?;
        let deployment = Deployment::load(&dir.join("deployment.yaml"))?;
        let kinds = callers::kinds(&deployment.calls, &routes(items.clone())?)?;
        let name = dir.file_name().unwrap_or(dir.as_os_str());
        Ok(Scenario {
            name: name.to_string_lossy().into_owned(),
            copy: WorkingCopy::new(items)?,
            deployment,
            kinds,
            rate,
            seed: given.seed.unwrap_or(1),
        })
    }

    /// Starts everything, lets it happen, stops everything and judges.
    ///
    /// # Errors
    ///
    /// Fails if something doesn't happen in time, and tells where the logs
    /// are.
    pub(super) async fn run(self) -> Result<Report> {
        let log = Arc::new(Log::default());
        let service = self.service();
        let text = self.copy.text();
        let began = Instant::now();
        let mut fleet = Fleet::start(&self.deployment, text, &service, log).await?;
        let nodes = fleet.members.len();
        println!(
            "{nodes} nodes are ready after {:.1} s",
            began.elapsed().as_secs_f64()
        );
        match self.show(&mut fleet).await {
            Ok(report) if report.held() => Ok(report),
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

    async fn show(self, fleet: &mut Fleet) -> Result<Report> {
        let entries = fleet.members.iter().map(|member| member.listen.ingress);
        let entries = entries.collect();
        let callers = Callers::start(self.kinds, entries, self.rate, self.seed, BOUND);
        let began = Instant::now();
        sleep(SETTLE_TIME).await;
        let played = Play::new(self.copy, fleet).run().await?;
        sleep(SETTLE_TIME).await;
        let called = began.elapsed();
        let load = callers.stop().await?;
        let evidence = Evidence::gather(fleet, load).await?;
        Ok(Report::new(
            self.name,
            &self.deployment,
            called,
            played,
            evidence,
        ))
    }

    fn service(&self) -> ServiceFile {
        let calls = self.deployment.calls.iter().zip(&self.kinds);
        let times = calls.filter_map(|(call, kind)| {
            let us = u64::try_from(call.service.as_micros()).ok()?;
            Some((kind.name.to_owned(), us))
        });
        ServiceFile {
            kinds_us: times.collect(),
        }
    }
}
