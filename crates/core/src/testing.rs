//! What the tests of several modules need.

use crate::DomainName;
use crate::Instance;
use crate::InstanceId;
use crate::InstanceState;
use crate::RegionName;
use crate::ServiceName;

/// A live instance with ten slots.
pub(crate) fn instance(id: &str, service: &str, domain: &str) -> Instance {
    let addr = "127.0.0.1:9001".parse().unwrap();
    Instance {
        id: InstanceId::new(id).unwrap(),
        service: ServiceName::new(service).unwrap(),
        region: RegionName::new("ulaanbaatar").unwrap(),
        domain: DomainName::new(domain).unwrap(),
        traffic: addr,
        control: addr,
        slots: 10,
        connections: 120,
        state: InstanceState::Live,
    }
}
