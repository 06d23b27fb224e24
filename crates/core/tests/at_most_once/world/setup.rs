//! Ids, keys, instance lists and routing of the fleet.

use std::sync::Arc;
use std::time::Duration;

use sassafrasspool_core::Catalogue;
use sassafrasspool_core::Instance;
use sassafrasspool_core::InstanceId;
use sassafrasspool_core::InstanceList;
use sassafrasspool_core::InstanceState;
use sassafrasspool_core::Locality;
use sassafrasspool_core::Meters;
use sassafrasspool_core::Picker;
use sassafrasspool_core::RequestKey;
use sassafrasspool_core::Revision;
use sassafrasspool_core::RouteSettings;
use sassafrasspool_core::ServiceName;
use sassafrasspool_core::Snapshot;
use sassafrasspool_core::Tick;
use sassafrasspool_core::catalogue;
use sassafrasspool_core::history::OperationId;

use super::NODES;

const CATALOGUE: &str = "
services:
  adjuster-desk:
    owner: claims-review
    class: critical
    limits: {rate_per_s: 100, concurrency: 10, deadline_ms: 5000}
";

pub(super) fn id(i: usize) -> InstanceId {
    InstanceId::new(&format!("ad-{i}")).unwrap()
}

pub(super) fn key(operation: OperationId) -> RequestKey {
    let service = ServiceName::new("adjuster-desk").unwrap();
    RequestKey::new(&service, "POST /approvals", &operation.to_string()).unwrap()
}

pub(super) fn list(revision: u64, mask: u8) -> InstanceList {
    let listed = (0..NODES).filter(|i| mask & (1 << i) != 0);
    InstanceList::new(Revision::new(revision).unwrap(), listed.map(instance)).unwrap()
}

pub(super) fn instance(i: usize) -> Instance {
    let addr = "127.0.0.1:9001".parse().unwrap();
    Instance {
        id: id(i),
        service: ServiceName::new("adjuster-desk").unwrap(),
        region: sassafrasspool_core::RegionName::new("ulaanbaatar").unwrap(),
        domain: sassafrasspool_core::DomainName::new("khan-uul").unwrap(),
        traffic: addr,
        control: addr,
        slots: 10,
        connections: 120,
        state: InstanceState::Live,
        target: None,
        cold_for: Duration::ZERO,
    }
}

/// A snapshot and its picker, as a first hop has them.
pub(super) struct Routing {
    pub(super) snapshot: Snapshot,
    pub(super) picker: Picker,
}

pub(super) fn routing(list: &InstanceList) -> Routing {
    let items = catalogue::parse(CATALOGUE).unwrap();
    let published = Catalogue::new(Revision::new(1).unwrap(), items).unwrap();
    let snapshot = Snapshot::build(&published, list).unwrap();
    let at = instance(0);
    let locality = Locality {
        instance: at.id,
        domain: at.domain,
        region: at.region,
    };
    let meters = Arc::new(Meters::new());
    let cfg = RouteSettings::default();
    let picker = Picker::build(&snapshot, &locality, cfg, &meters, Tick::ZERO);
    Routing { snapshot, picker }
}
