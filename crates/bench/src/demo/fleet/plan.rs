//! Which workers there are and where they stand.

use std::time::Duration;

use sassafrasspool_core::Instance;
use sassafrasspool_core::InstanceId;
use sassafrasspool_core::InstanceState;
use sassafrasspool_core::Result;

use super::take;
use crate::demo::deployment::Deployment;
use crate::demo::deployment::Domain;
use crate::demo::deployment::Workers;
use crate::demo::member::Listen;
use crate::demo::member::Planned;
use crate::demo::member::TargetAddrs;
use crate::load::Ports;

/// Deals the workers out over the failure domains in turn.
///
/// # Errors
///
/// Fails if a name is too long or no port is free.
pub(super) fn plan(deployment: &Deployment, ports: &mut Ports) -> Result<Vec<Planned>> {
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

fn worker(workers: &Workers, number: u32, domain: &Domain, ports: &mut Ports) -> Result<Planned> {
    let mut free = || take(ports);
    let listen = Listen {
        ingress: free()?,
        egress: free()?,
        traffic: free()?,
        control: free()?,
        admin: free()?,
    };
    let target = TargetAddrs {
        listen: free()?,
        admin: free()?,
    };
    Ok(Planned {
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
