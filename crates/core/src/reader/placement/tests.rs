use std::net::SocketAddr;
use std::time::Duration;

use super::Placement;
use crate::DomainName;
use crate::Instance;
use crate::InstanceId;
use crate::InstanceList;
use crate::InstanceState;
use crate::RegionName;
use crate::Revision;
use crate::ServiceName;

fn instance(name: &str, control_port: u16) -> Instance {
    Instance {
        id: InstanceId::new(name).unwrap(),
        service: ServiceName::new("desk").unwrap(),
        region: RegionName::new("north").unwrap(),
        domain: DomainName::new("north-a").unwrap(),
        traffic: SocketAddr::from(([127, 0, 0, 1], 9_001)),
        control: SocketAddr::from(([127, 0, 0, 1], control_port)),
        slots: 10,
        connections: 120,
        state: InstanceState::Live,
        target: None,
        cold_for: Duration::ZERO,
    }
}

/// Guards against a failure domain without a working reader during a migration: an
/// instance without a node ranks first but can't read.
#[test]
fn an_instance_without_a_node_is_not_ranked() {
    let without_node = (0..20).map(|i| instance(&format!("old-{i}"), 0));
    let with_node = [instance("new-1", 9_002)];
    let revision = Revision::new(1).unwrap();
    let list = InstanceList::new(revision, without_node.chain(with_node.clone())).unwrap();
    let placement = Placement::find(&list, &with_node[0].id, &with_node[0].domain);
    assert_eq!((placement.rank, placement.fleet_size), (Some(0), 1));
}
