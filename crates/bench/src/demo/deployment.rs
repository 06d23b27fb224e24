//! What a demo deploys: `deployment.yaml`, in the directory of the catalogue.

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

/// Workers by service, their failure domains and the calls to them.
///
/// # Invariants
///
/// At least one domain, one service and one kind of call.
#[derive(Debug, Clone)]
pub struct Deployment {
    /// Failure domains with their regions. Workers are placed round-robin.
    pub domains: Vec<Domain>,
    /// Workers of each service.
    pub services: Vec<Workers>,
    /// The calls that callers make.
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
    /// Requests that each runs concurrently.
    pub slots: u32,
    /// Most connections of each.
    pub connections: u32,
}

/// One kind of call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call {
    /// The path that is called.
    pub path: RoutePath,
    /// Its share of all calls, relative to the other calls' shares.
    pub share: u32,
    /// How long a target works on it.
    pub service_time: Duration,
    /// Length of its answer, in bytes.
    pub answer_bytes: usize,
}

impl Deployment {
    /// Reads a deployment from its YAML text.
    ///
    /// # Errors
    ///
    /// Returns all faults with their places.
    pub fn parse(text: &str) -> Result<Deployment, Faults> {
        read::read(text)
    }

    /// Reads a deployment from a file.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read, or with all faults of its text.
    pub fn load(file: &Path) -> Result<Deployment> {
        let name = file.display();
        let text = std::fs::read_to_string(file).map_err(|cause| {
            Error::new(Step::Settings, format!("{name} can't be read")).with_cause(cause)
        })?;
        Deployment::parse(&text)
            .map_err(|faults| Error::new(Step::Settings, format!("{name}:\n{faults}")))
    }
}
