//! Support for the tests of several modules.

use std::time::Duration;

use crate::DomainName;
use crate::Instance;
use crate::InstanceId;
use crate::InstanceState;
use crate::Limits;
use crate::RegionName;
use crate::RetryLimits;
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
        target: None,
        cold_for: Duration::ZERO,
    }
}

/// Limits that are high enough not to affect tests of other behaviour.
pub(crate) const LIMITS: Limits = Limits {
    rate_per_s: 100_000,
    concurrency: 100,
    deadline: Duration::from_secs(2),
    retry: RetryLimits {
        attempts: 2,
        budget_percent: 10,
        burst: 100,
    },
};
