//! A small deployment: machines with a worker and a node each, and the store.

use std::collections::HashMap;
use std::io;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use crate::node::Node;
use crate::node::Place;
use crate::node::Ports;
use crate::record::Record;
use crate::store::Store;
use crate::wire;
use crate::worker::Spec;
use crate::worker::Work;
use crate::worker::Worker;

/// The host of all routes.
pub const HOST: &str = "mesh.example";

const ZONES: [&str; 3] = ["tas-hobart", "tas-launceston", "tas-burnie"];

/// A route of a configuration.
#[derive(Debug, Clone)]
pub struct Route {
    pub name: &'static str,
    pub kind: &'static str,
    pub service: &'static str,
    pub timeout_s: f64,
    pub attempts: u32,
}

/// A machine with its worker.
#[derive(Debug, Clone)]
pub struct Machine {
    pub service: &'static str,
    pub slots: u32,
    pub work: Vec<(&'static str, Work)>,
}

/// The running deployment.
#[derive(Debug)]
pub struct Deployment {
    pub store: Store,
    pub workers: Vec<Worker>,
    pub nodes: Vec<Node>,
    pub record: Arc<Record>,
    folder: PathBuf,
}

impl Deployment {
    /// Starts the store with a first configuration, the workers and the nodes, and waits until
    /// all nodes are ready.
    pub fn start(
        root: &Path,
        record: &Arc<Record>,
        machines: &[Machine],
        routes: &[Route],
    ) -> io::Result<Deployment> {
        let folder = std::env::temp_dir().join(format!("review-standin-2-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let ips: Vec<String> = (0..machines.len())
            .map(|n| format!("127.0.7.{}", n + 11))
            .collect();
        let ports = Ports::find(&ips)?;
        let store = Store::start("127.0.7.1")?;
        let mut deployment = Deployment {
            store: store.clone(),
            workers: Vec::new(),
            nodes: Vec::new(),
            record: Arc::clone(record),
            folder: folder.clone(),
        };
        deployment.publish(5, routes);
        let seeds: Vec<String> = ips
            .iter()
            .take(3)
            .map(|ip| format!("{ip}:{}", ports.control))
            .collect();
        for (n, (machine, ip)) in machines.iter().zip(&ips).enumerate() {
            let zone = ZONES[n % ZONES.len()].to_owned();
            let address = format!("{ip}:{}", ports.app);
            let work = machine
                .work
                .iter()
                .map(|(path, work)| ((*path).to_owned(), *work));
            let spec = Spec {
                id: format!("i-{n}a7f3c{n}"),
                service: machine.service.to_owned(),
                zone: zone.clone(),
                addr: address.parse().map_err(io::Error::other)?,
                slots: machine.slots,
                work: work.collect::<HashMap<_, _>>(),
            };
            let worker = Worker::new(spec, &store, record);
            worker.start()?;
            deployment.workers.push(worker);
            let place = Place {
                ip: ip.clone(),
                zone,
                service: machine.service.to_owned(),
                ports,
                seeds: seeds.clone(),
            };
            deployment
                .nodes
                .push(Node::start(root, &folder, place, &store)?);
        }
        for node in &deployment.nodes {
            if !node.wait_ready(Duration::from_secs(20)) {
                return Err(io::Error::other("a node isn't ready"));
            }
        }
        record.note("all nodes are ready");
        Ok(deployment)
    }

    /// Writes a configuration. Returns when the store has acknowledged it.
    pub fn publish(&self, version: u32, routes: &[Route]) -> f64 {
        let services: std::collections::BTreeSet<&str> =
            routes.iter().map(|it| it.service).collect();
        let services = services.into_iter().map(|name| {
            let vars = [("name", name.to_owned()), ("connections", "130".to_owned())];
            wire::fill("service", &vars)
        });
        let texts = routes.iter().map(|route| {
            let vars = [
                ("name", route.name.to_owned()),
                ("host", HOST.to_owned()),
                ("prefix", format!("/{}/", route.name)),
                ("kind", route.kind.to_owned()),
                ("timeout", route.timeout_s.to_string()),
                ("aim", (route.timeout_s / 2.0).to_string()),
                ("priority", "1".to_owned()),
                ("service", route.service.to_owned()),
                ("attempts", route.attempts.to_string()),
            ];
            wire::fill("route", &vars)
        });
        let vars = [
            ("version", version.to_string()),
            ("routes", texts.collect::<Vec<_>>().join(",")),
            ("services", services.collect::<Vec<_>>().join(",")),
        ];
        let revision = self
            .store
            .put(wire::name("config_key"), &wire::fill("config", &vars));
        let at = self.record.now();
        self.record.note(&format!(
            "store acknowledges configuration r{version}, revision {revision}"
        ));
        at
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.nodes.clear();
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}
