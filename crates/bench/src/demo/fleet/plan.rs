//! Plans the workers, their failure domains and their addresses.

use std::time::Duration;

use sassafrasspool_core::Instance;
use sassafrasspool_core::InstanceId;
use sassafrasspool_core::InstanceState;
use sassafrasspool_core::Result;

use super::reserve_addr;
use crate::demo::deployment::Deployment;
use crate::demo::deployment::Domain;
use crate::demo::deployment::Workers;
use crate::demo::member::Listen;
use crate::demo::member::PlannedWorker;
use crate::demo::member::TargetAddrs;
use crate::load::Ports;

/// Places the workers over the failure domains round-robin.
///
/// # Errors
///
/// Fails if a name is too long or no port is free.
pub(super) fn plan(deployment: &Deployment, ports: &mut Ports) -> Result<Vec<PlannedWorker>> {
    let mut planned = Vec::new();
    let mut domains = deployment.domains.iter().cycle();
    for workers in &deployment.services {
        for number in 1..=workers.workers {
            let Some(domain) = domains.next() else { break };
            planned.push(worker(workers, number, domain, ports)?);
        }
    }
    Ok(planned)
}

fn worker(
    workers: &Workers,
    number: u32,
    domain: &Domain,
    ports: &mut Ports,
) -> Result<PlannedWorker> {
    let mut free_addr = || reserve_addr(ports);
    let listen = Listen {
        ingress: free_addr()?,
        egress: free_addr()?,
        traffic: free_addr()?,
        control: free_addr()?,
        admin: free_addr()?,
    };
    let target = TargetAddrs {
        listen: free_addr()?,
        admin: free_addr()?,
    };
    Ok(PlannedWorker {
        instance: Instance {
            id: InstanceId::new(&format!("{}-{number}", workers.service))?,
            service: workers.service.clone(),
            region: domain.region.clone(),
            domain: domain.name.clone(),
            traffic: listen.traffic,
            control: listen.control,
            slots: workers.slots,
            connections: workers.connections,
            state: InstanceState::Live,
            target: None,
            cold_for: Duration::ZERO,
        },
        listen,
        target,
    })
}
