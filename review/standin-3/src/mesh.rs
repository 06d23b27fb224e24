//! The node processes of a small deployment, one beside each target.

use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::caller;
use crate::names::name;
use crate::record::Record;

/// The deployed program, from the root of the repository.
const PROGRAM: &str = "target/dist/sassafrasspool-mesh";

/// The ports of every machine.
#[derive(Debug, Clone, Copy)]
pub struct Ports {
    pub inbound: u16,
    pub outbound: u16,
    pub control: u16,
    pub ready: u16,
    pub metrics: u16,
    pub target: u16,
}

/// A small deployment on loopback addresses, one for each machine.
#[derive(Debug)]
pub struct Deployment {
    pub hosts: Vec<String>,
    pub ports: Ports,
    pub zones: Vec<&'static str>,
    folder: PathBuf,
    store: SocketAddr,
    nodes: Vec<Option<Child>>,
    services: Vec<String>,
    record: Record,
}

impl Deployment {
    /// Chooses addresses for machines with these services. No node runs yet.
    ///
    /// # Errors
    ///
    /// Fails if the temporary folder can't be created or no port is free.
    pub fn new(
        services: &[&str],
        store: SocketAddr,
        record: &Record,
    ) -> std::io::Result<Deployment> {
        let pid = std::process::id();
        let base = format!("127.{}.{}", 20 + pid / 250 % 200, 1 + pid % 250);
        let hosts = (0..services.len()).map(|n| format!("{base}.{}", 10 + n));
        let hosts: Vec<String> = hosts.collect();
        let free = || -> std::io::Result<u16> {
            Ok(TcpListener::bind((hosts[0].as_str(), 0))?
                .local_addr()?
                .port())
        };
        let ports = Ports {
            inbound: free()?,
            outbound: free()?,
            control: free()?,
            ready: free()?,
            metrics: free()?,
            target: free()?,
        };
        let folder = std::env::temp_dir().join(format!("standin-3-{pid}"));
        std::fs::create_dir_all(&folder)?;
        let zones = ["zone-a", "zone-b", "zone-c", "zone-d"];
        // Two zones for a handful of machines, and four for more.
        let zone_count = if services.len() > 16 { 4 } else { 2 };
        Ok(Deployment {
            zones: (0..services.len()).map(|n| zones[n % zone_count]).collect(),
            nodes: services.iter().map(|_| None).collect(),
            services: services.iter().map(|it| (*it).to_owned()).collect(),
            hosts,
            ports,
            folder,
            store,
            record: record.clone(),
        })
    }

    /// The address of the target of a machine.
    pub fn target(&self, machine: usize) -> SocketAddr {
        self.addr(machine, self.ports.target)
    }

    /// The address at which the node of a machine takes requests of consumers.
    pub fn outbound(&self, machine: usize) -> SocketAddr {
        self.addr(machine, self.ports.outbound)
    }

    fn addr(&self, machine: usize, port: u16) -> SocketAddr {
        let host = self.hosts[machine].parse().expect("a loopback address");
        SocketAddr::new(host, port)
    }

    /// The settings of a node, as the template of the deploy file renders them.
    fn settings(&self, machine: usize) -> std::io::Result<String> {
        let (host, ports) = (&self.hosts[machine], self.ports);
        let admin = free_admin_port()?;
        let seeds = self.hosts.iter().take(3);
        let seeds = seeds.map(|host| format!("\"{host}:{}\"", ports.control));
        let seeds = seeds.collect::<Vec<_>>().join(",");
        Ok(format!(
            "instance: {host}
service: {service}
region: region
domain: {zone}
listen:
  ingress: {host}:{outbound}
  traffic: {host}:{inbound}
  control: {host}:{control}
  ready: {host}:{ready}
  admin: 127.0.0.1:{admin}
  metrics: {host}:{metrics}
target: {{addr: \"{host}:{target}\", cold_over: \"\", cold_slack: \"\"}}
platform: {{addr: \"{store}\", reads_per_s: 6000}}
seeds: [{seeds}]
traffic_threads: 1
log: {{format: json, level: info}}
link: {{mbps: \"1000.0\"}}
features: [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"health\",\"pool\",\"platform\"]
drain: {{callers_ms: 2200, grace_s: \"6\"}}
spread:
  readers: 4
  all_read: 16
  history_bytes: 131072
  watch_ms: 10000
  rest_ms: 500
  contact_bound_ms: 10000
  assumed_fleet: 100
  join_bound_ms: 300
  call_timeout_ms: 500
  backoff_base_ms: 100
  backoff_cap_ms: 1000
",
            service = self.services[machine],
            zone = self.zones[machine],
            outbound = ports.outbound,
            inbound = ports.inbound,
            control = ports.control,
            ready = ports.ready,
            metrics = ports.metrics,
            target = ports.target,
            store = self.store,
        ))
    }

    /// Starts the node of a machine.
    ///
    /// # Errors
    ///
    /// Fails if the program can't be started.
    pub fn start_node(&mut self, machine: usize) -> std::io::Result<()> {
        let path = self.folder.join(format!("node-{machine}.yaml"));
        std::fs::File::create(&path)?.write_all(self.settings(machine)?.as_bytes())?;
        let log = self.folder.join(format!("node-{machine}.log"));
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(log)?;
        let child = Command::new(PROGRAM)
            .env(name("settings_variable"), &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.record.line(format!(
            "node {} starts as process {}",
            self.hosts[machine],
            child.id()
        ));
        self.nodes[machine] = Some(child);
        Ok(())
    }

    /// Starts all nodes and waits until all of them are ready.
    ///
    /// # Errors
    ///
    /// Fails if a node can't be started or isn't ready within 20 seconds.
    pub fn start_all(&mut self) -> std::io::Result<()> {
        for machine in 0..self.hosts.len() {
            self.start_node(machine)?;
        }
        let until = Instant::now() + Duration::from_secs(20);
        for machine in 0..self.hosts.len() {
            while !self.is_ready(machine) {
                if Instant::now() >= until {
                    return Err(std::io::Error::other("a node isn't ready after 20 s"));
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
        self.record.line("all nodes are ready");
        Ok(())
    }

    /// Whether the node answers that it is ready.
    pub fn is_ready(&self, machine: usize) -> bool {
        let addr = self.addr(machine, self.ports.ready);
        caller::get(addr, "ready", name("ready_path"), &[]) == Some(200)
    }

    /// The machines whose nodes read the platform at present, by their logs.
    pub fn readers(&self) -> Vec<usize> {
        let is_reader = |machine: &usize| {
            let path = self.folder.join(format!("node-{machine}.log"));
            let log = std::fs::read_to_string(path).unwrap_or_default();
            let mut lines = log
                .lines()
                .filter(|it| it.contains("\"event\":\"reading\""));
            lines.next_back().is_some_and(|it| it.contains("began"))
        };
        (0..self.hosts.len()).filter(is_reader).collect()
    }

    /// Sends a signal to the node of a machine.
    pub fn signal(&self, machine: usize, signal: &str) {
        if let Some(child) = &self.nodes[machine] {
            let host = &self.hosts[machine];
            self.record.line(format!("signal {signal} to node {host}"));
            let id = child.id().to_string();
            let _ = Command::new("kill").args([signal, &id]).status();
        }
    }

    /// Kills the node of a machine and waits for its end.
    pub fn kill(&mut self, machine: usize) {
        if let Some(mut child) = self.nodes[machine].take() {
            self.record
                .line(format!("node {} is killed", self.hosts[machine]));
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// The next free port for a node's admin address.
///
/// All nodes share that address, from which connections also go out. These take their ports
/// from 32768 on, so that a lower one stays free until the node listens.
fn free_admin_port() -> std::io::Result<u16> {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let first = 12_000 + (std::process::id() % 100) as u16 * 200;
    for _ in 0..200 {
        let port = first + NEXT.fetch_add(1, Ordering::Relaxed) % 200;
        if TcpListener::bind(("127.0.0.1", port)).is_ok() {
            return Ok(port);
        }
    }
    Err(std::io::Error::other("no free port"))
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for machine in 0..self.nodes.len() {
            self.kill(machine);
        }
        match std::env::var_os("KEEP") {
            Some(_) => eprintln!("logs: {}", self.folder.display()),
            None => {
                let _ = std::fs::remove_dir_all(&self.folder);
            }
        }
    }
}
