//! Callers and instances of the simulated fleet.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::RngExt;
use sassafrasspool_core::Instance;
use sassafrasspool_core::InstanceId;
use sassafrasspool_core::InstanceState;
use sassafrasspool_core::Locality;
use sassafrasspool_core::Meters;
use sassafrasspool_core::Picker;
use sassafrasspool_core::RouteSettings;
use sassafrasspool_core::ServiceName;
use sassafrasspool_core::Snapshot;
use sassafrasspool_core::Tick;

use super::DOMAINS;

pub(super) fn caller(domain: &str, snapshot: &Snapshot) -> (Arc<Meters>, Picker) {
    let at = instance(0);
    let locality = Locality {
        instance: InstanceId::new(&format!("caller-{domain}")).unwrap(),
        domain: sassafrasspool_core::DomainName::new(domain).unwrap(),
        region: at.region,
    };
    let meters = Arc::new(Meters::new());
    let cfg = RouteSettings::default();
    let picker = Picker::build(snapshot, &locality, cfg, &meters, Tick::ZERO);
    (meters, picker)
}

pub(super) fn instance(i: usize) -> Instance {
    let addr = "127.0.0.1:9001".parse().unwrap();
    Instance {
        id: InstanceId::new(&format!("wd-{i}")).unwrap(),
        service: ServiceName::new("workshop-desk").unwrap(),
        region: sassafrasspool_core::RegionName::new("ulaanbaatar").unwrap(),
        domain: sassafrasspool_core::DomainName::new(DOMAINS[i % 3]).unwrap(),
        traffic: addr,
        control: addr,
        slots: 10,
        connections: 120,
        state: InstanceState::Live,
        target: None,
        cold_for: Duration::ZERO,
    }
}

pub(super) fn exponential(rng: &mut impl Rng, mean_us: f64) -> u64 {
    let uniform = rng.random_range(f64::EPSILON..1.0);
    (-uniform.ln() * mean_us) as u64
}
