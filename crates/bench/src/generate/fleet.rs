//! Generated instance lists.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use sassafrasspool_core::DomainName;
use sassafrasspool_core::Instance;
use sassafrasspool_core::InstanceId;
use sassafrasspool_core::InstanceState;
use sassafrasspool_core::RegionName;
use sassafrasspool_core::Result;
use sassafrasspool_core::ServiceName;

use super::Shape;

/// Regions and failure domains: two regions with two domains each.
const DOMAINS: [(&str, &str); 4] = [
    ("north", "north-a"),
    ("north", "north-b"),
    ("south", "south-a"),
    ("south", "south-b"),
];

/// Slots of every generated target.
const SLOTS: u32 = 10;

/// Connection limit of every generated target.
const CONNECTIONS: u32 = 120;

/// Generated instances, distributed evenly over domains and services.
#[derive(Debug, Clone)]
pub struct GeneratedFleet {
    instances: Vec<Instance>,
}

impl GeneratedFleet {
    /// Generates the shape's endpoints; their addresses have port 0.
    ///
    /// # Errors
    ///
    /// Fails if a generated name is invalid, which would be a fault of the
    /// generator.
    pub fn new(shape: Shape) -> Result<GeneratedFleet> {
        let services = shape.services.max(1);
        let instances = (0..shape.endpoints).map(|i| instance(i, services));
        Ok(GeneratedFleet {
            instances: instances.collect::<Result<_>>()?,
        })
    }

    /// The instances, in the order of the numbers in their ids.
    pub fn instances(&self) -> &[Instance] {
        &self.instances
    }

    /// Returns the instances, in the order of the numbers in their ids.
    pub fn into_instances(self) -> Vec<Instance> {
        self.instances
    }
}

fn instance(i: usize, services: usize) -> Result<Instance> {
    let (region, domain) = DOMAINS[i % DOMAINS.len()];
    let no_addr = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    Ok(Instance {
        id: InstanceId::new(&format!("i-{i:04}"))?,
        service: ServiceName::new(&format!("service-{:04}", i % services))?,
        region: RegionName::new(region)?,
        domain: DomainName::new(domain)?,
        traffic: no_addr,
        control: no_addr,
        slots: SLOTS,
        connections: CONNECTIONS,
        state: InstanceState::Live,
        target: None,
        cold_for: Duration::ZERO,
    })
}
