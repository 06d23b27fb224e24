//! What a demo deploys: `deployment.yaml` beside a catalogue.

use std::path::Path;
use std::time::Duration;

use sassafrasspool_core::DomainName;
use sassafrasspool_core::Error;
use sassafrasspool_core::Faults;
use sassafrasspool_core::RegionName;
use sassafrasspool_core::Result;
use sassafrasspool_core::RoutePath;
use sassafrasspool_core::ServiceName;
use sassafrasspool_core::Step;

mod read;
#[cfg(test)]
mod tests;

/// Workers by service, where they stand and what is asked of them.
///
/// # Invariants
///
/// At least one domain, one service and one kind of call.
#[derive(Debug, Clone)]
pub struct Deployment {
    /// Failure domains with their regions; workers are dealt out in turn.
    pub domains: Vec<Domain>,
    /// Workers of each service.
    pub services: Vec<Workers>,
    /// What callers ask for.
    pub calls: Vec<Call>,
}

/// A failure domain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Domain {
    /// The region that it belongs to.
    pub region: RegionName,
    /// Its name.
    pub name: DomainName,
}

/// The workers of one service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Workers {
    /// The service.
    pub service: ServiceName,
    /// How many workers there are.
    pub workers: u32,
    /// Requests that each runs at once.
    pub slots: u32,
    /// Connections that each holds at most.
    pub connections: u32,
}

/// One sort of call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call {
    /// The path that is called.
    pub path: RoutePath,
    /// How often, beside the other calls' shares.
    pub share: u32,
    /// How long a target works on it.
    pub service: Duration,
    /// Bytes of its answer.
    pub answer_bytes: usize,
}

impl Deployment {
    /// Reads a deployment from its YAML text.
    ///
    /// # Errors
    ///
    /// Returns every fault with its place.
    pub fn parse(text: &str) -> Result<Deployment, Faults> {
        read::read(text)
    }

    /// Reads a deployment from a file.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read, or with every fault of its text.
    pub fn load(file: &Path) -> Result<Deployment> {
        let name = file.display();
        let text = std::fs::read_to_string(file).map_err(|cause| {
            Error::new(Step::Settings, format!("{name} can't be read")).with_cause(cause)
        })?;
        Deployment::parse(&text)
            .map_err(|faults| Error::new(Step::Settings, format!("{name}:\n{faults}")))
    }
}
