//! A small deployment on loopback addresses: the store, and on each address a target with
//! the program of the deploy file beside it.

use std::fs;
use std::fs::File;
use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::caller::HOST;
use crate::http::Conn;
use crate::names::fill;
use crate::names::name;
use crate::record::Record;
use crate::store::Gate;
use crate::store::Store;
use crate::worker::Behaviour;

const CONFIG: &str = include_str!("../data/config.json");
const ENTRY: &str = include_str!("../data/entry.json");
const ZONES: [&str; 3] = ["bayanzurkh", "khan-uul", "sukhbaatar"];

/// The names of the services in the configuration.
pub(crate) const SERVICES: [&str; 2] = ["huvo11a", "wuno96b"];

/// The ports on each address, counted from the deployment's first one.
const INGRESS: u16 = 0;
const TRAFFIC: u16 = 1;
const READY: u16 = 2;
const CONTROL: u16 = 3;
const TARGET: u16 = 4;
const INNER: u16 = 5;

/// What a deployment has.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Shape {
    pub(crate) machines: usize,
    pub(crate) slots: u32,
    /// The timeout of the routes, in seconds as the configuration has it.
    pub(crate) timeout_s: &'static str,
    /// Whether every second machine has a target of the second service.
    pub(crate) has_second_service: bool,
    /// The last machines, whose targets don't register themselves at first.
    pub(crate) spare: usize,
}

impl Shape {
    /// The service of the target on a machine.
    fn service(&self, at: usize) -> &'static str {
        SERVICES[usize::from(self.has_second_service && at % 2 == 1)]
    }
}

/// A running deployment. Dropping it ends its processes.
#[derive(Debug)]
pub(crate) struct Deployment {
    pub(crate) store: Store,
    pub(crate) machines: Vec<Machine>,
    shape: Shape,
    folder: PathBuf,
    record: Record,
}

/// One machine with its target and its node.
#[derive(Debug)]
pub(crate) struct Machine {
    ip: IpAddr,
    first_port: u16,
    zone: &'static str,
    pub(crate) service: &'static str,
    pub(crate) target_id: String,
    target: Child,
    /// The start of the target in Unix milliseconds, as it states it.
    pub(crate) born: u64,
    node: Child,
    /// How the machine reaches the store.
    pub(crate) gate: Arc<Gate>,
}

impl Machine {
    /// Where callers of the machine connect.
    pub(crate) fn ingress(&self) -> SocketAddr {
        self.at(INGRESS)
    }

    fn at(&self, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip, self.first_port + port)
    }

    /// Kills the target.
    pub(crate) fn kill_target(&mut self) -> io::Result<()> {
        self.target.kill()?;
        self.target.wait().map(drop)
    }

    /// Sends a signal to the target, by the name that `kill` knows.
    pub(crate) fn signal_target(&self, signal: &str) -> io::Result<()> {
        let pid = self.target.id();
        // The shell has the command built in.
        let command = format!("kill -s {signal} {pid}");
        let sent = Command::new("sh").args(["-c", &command]).status()?;
        match sent.success() {
            true => Ok(()),
            false => Err(io::Error::other("the signal wasn't sent")),
        }
    }
}

impl Deployment {
    /// Starts a deployment, and waits until all of its nodes are ready.
    pub(crate) fn start(
        shape: Shape,
        behaviour: Behaviour,
        record: &Record,
    ) -> io::Result<Deployment> {
        let pid = std::process::id();
        let folder = std::env::temp_dir().join(format!("review-{pid}"));
        fs::create_dir_all(&folder)?;
        let ips: Vec<IpAddr> = (1..=shape.machines).map(address).collect();
        let first_port = free_ports(&ips)?;
        let store = Store::new();
        let mut deployment = Deployment {
            store,
            machines: Vec::new(),
            shape,
            folder,
            record: record.clone(),
        };
        deployment.put_config(7, SERVICES[0]);
        for (at, ip) in ips.iter().enumerate() {
            let machine = deployment.start_machine(at, *ip, first_port, behaviour)?;
            deployment.machines.push(machine);
        }
        for at in 0..shape.machines - shape.spare {
            deployment.put_entry(at, "ready", 1);
        }
        deployment.wait_until_ready()?;
        // Traffic starts 8 s after the machines do; all are ready now.
        thread::sleep(Duration::from_secs(2));
        Ok(deployment)
    }

    /// Writes a version of the configuration, whose routes lead to a service.
    pub(crate) fn put_config(&self, version: u32, service: &str) {
        let version = version.to_string();
        let values = [
            ("VERSION", version.as_str()),
            ("HOST", HOST),
            ("SERVICE", service),
            ("TIMEOUT", self.shape.timeout_s),
        ];
        self.store.put(name("config_key"), &fill(CONFIG, &values));
    }

    /// Writes the entry of a machine's target.
    pub(crate) fn put_entry(&self, at: usize, state: &str, sequence: u32) {
        let machine = &self.machines[at];
        let address = machine.at(TARGET).to_string();
        let (slots, sequence) = (self.shape.slots.to_string(), sequence.to_string());
        let born = machine.born.to_string();
        let values = [
            ("SERVICE", machine.service),
            ("ADDRESS", address.as_str()),
            ("ZONE", machine.zone),
            ("SLOTS", slots.as_str()),
            ("STATE", state),
            ("SEQUENCE", sequence.as_str()),
            ("BORN", born.as_str()),
        ];
        let key = format!("{}{}", name("entry_prefix"), machine.target_id);
        self.store.put(&key, &fill(ENTRY, &values));
    }

    /// Removes the entry of a machine's target.
    pub(crate) fn remove_entry(&self, at: usize) {
        let id = &self.machines[at].target_id;
        self.store.remove(&format!("{}{id}", name("entry_prefix")));
    }

    fn start_machine(
        &self,
        at: usize,
        ip: IpAddr,
        first_port: u16,
        behaviour: Behaviour,
    ) -> io::Result<Machine> {
        let store = SocketAddr::new(store_address(at), first_port);
        let gate = self.store.serve(store, at, &self.record)?;
        let target_id = format!("i-7f3a91{at:02}");
        let target_addr = SocketAddr::new(ip, first_port + TARGET);
        let target = self.start_target(target_addr, &target_id, behaviour)?;
        let settings = self.folder.join(format!("node-{at}.yaml"));
        let zone = ZONES[at % ZONES.len()];
        fs::write(&settings, self.settings(at, ip, first_port, store, zone)?)?;
        let log = File::create(self.folder.join(format!("node-{at}.log")))?;
        let node = Command::new("target/dist/sassafrasspool-mesh")
            .env_clear()
            .envs(std::env::vars().filter(|it| ["PATH", "HOME", "LANG"].contains(&it.0.as_str())))
            .env("SASSAFRASSPOOL_SETTINGS", &settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        let pid = node.id();
        self.record
            .note(&format!("machine {at}: {ip}, {zone}, node with pid {pid}"));
        Ok(Machine {
            ip,
            first_port,
            zone,
            service: self.shape.service(at),
            target_id,
            target,
            born: unix_ms(),
            node,
            gate,
        })
    }

    /// Starts the target of a machine again, under the id that it had.
    pub(crate) fn restart_target(&mut self, at: usize, behaviour: Behaviour) -> io::Result<()> {
        let machine = &self.machines[at];
        let started = self.start_target(machine.at(TARGET), &machine.target_id, behaviour)?;
        let machine = &mut self.machines[at];
        machine.target = started;
        machine.born = unix_ms();
        Ok(())
    }

    fn start_target(&self, addr: SocketAddr, id: &str, behaviour: Behaviour) -> io::Result<Child> {
        let number = |number: u64| number.to_string();
        let mut target = Command::new(std::env::current_exe()?)
            .args(["target", &addr.to_string(), id])
            .arg(number(behaviour.work.as_millis() as u64))
            .arg(number(u64::from(behaviour.parts)))
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()?;
        let lines = BufReader::new(target.stdout.take().expect("it is piped"));
        let (record, id) = (self.record.clone(), id.to_owned());
        thread::spawn(move || {
            for line in lines.lines().map_while(Result::ok) {
                match line.strip_prefix("runs ") {
                    Some(request) => {
                        let now = record.now();
                        let text = format!("runs at {id}");
                        record.note_request(request, &text, |entry| {
                            entry.runs.push((id.clone(), now));
                        });
                    }
                    None => record.note(&format!("target {id} {line}")),
                }
            }
        });
        Ok(target)
    }

    /// The settings of a node, from the template of the deploy file.
    fn settings(
        &self,
        at: usize,
        ip: IpAddr,
        first_port: u16,
        store: SocketAddr,
        zone: &str,
    ) -> io::Result<String> {
        let mut text = fs::read_to_string("deploy/node.yaml")?;
        let port = |offset| SocketAddr::new(ip, first_port + offset).to_string();
        let seeds: Vec<String> = (1..=3)
            .map(|n| SocketAddr::new(address(n), first_port + CONTROL))
            .map(|seed| format!("\"{seed}\""))
            .collect();
        // The nodes of other machines listen on 127.0.0.1 too, so that each has a port of
        // its own there.
        let inner = usize::from(first_port + INNER) + 2 * at;
        let features = [
            "base", "drain", "config", "cost", "retry", "recover", "platform",
        ];
        let features = features.map(|it| format!("\"{it}\"")).join(",");
        let values = [
            ("{{ip}}", ip.to_string()),
            ("{{service}}", self.shape.service(at).to_owned()),
            ("{{region}}", "ulaanbaatar".to_owned()),
            ("{{zone}}", zone.to_owned()),
            ("{{listen.outbound}}", port(INGRESS)),
            ("{{listen.inbound}}", port(TRAFFIC)),
            ("{{listen.control}}", port(CONTROL)),
            ("{{listen.ready}}", port(READY)),
            ("{{portRange.0}}", inner.to_string()),
            ("{{portRange.1}}", (inner + 1).to_string()),
            ("{{bounds.coldOver}}", String::new()),
            ("{{bounds.coldSlack}}", String::new()),
            ("{{bounds.graceS}}", "6".to_owned()),
            ("{{provider.address}}", store.to_string()),
            ("{{limits.linkMbps}}", "1000.0".to_owned()),
            ("{{#seeds}}\"{{.}}\"{{,}}{{/seeds}}", seeds.join(",")),
            ("{{#contracts}}\"{{.}}\"{{,}}{{/contracts}}", features),
        ];
        for (placeholder, value) in values {
            text = text.replace(placeholder, &value);
        }
        text = text.replace(&format!("{{{{{}}}}}", name("target_addr")), &port(TARGET));
        text = text.replace(&format!("{{{{{}}}}}", name("read_limit")), "2000");
        match text.contains("{{") {
            true => Err(io::Error::other("the template has an unknown placeholder")),
            false => Ok(text),
        }
    }

    fn wait_until_ready(&self) -> io::Result<()> {
        let until = Instant::now() + Duration::from_secs(20);
        for machine in &self.machines {
            while !is_ready(machine.at(READY)) {
                if Instant::now() > until {
                    return Err(io::Error::other(format!("{} isn't ready", machine.ip)));
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
        self.record.note("all nodes are ready");
        Ok(())
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for machine in &mut self.machines {
            // A process may have ended already.
            let _ = machine.node.kill();
            let _ = machine.node.wait();
            let _ = machine.target.kill();
            let _ = machine.target.wait();
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Where the machine reaches the store.
fn store_address(at: usize) -> IpAddr {
    let number = u8::try_from(at + 1).expect("there are few machines");
    IpAddr::V4(Ipv4Addr::new(127, 77, 2, number))
}

/// The time of day in Unix milliseconds.
fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

fn address(number: usize) -> IpAddr {
    let number = u8::try_from(number).expect("there are few machines");
    IpAddr::V4(Ipv4Addr::new(127, 77, 1, number))
}

/// The first of a range of ports that are free on all addresses.
fn free_ports(ips: &[IpAddr]) -> io::Result<u16> {
    let count = INNER + 2 * u16::try_from(ips.len()).unwrap_or(u16::MAX);
    let local = IpAddr::V4(Ipv4Addr::LOCALHOST);
    let start = 20_000 + (std::process::id() % 200) as u16 * 50;
    let is_free = |ip: &IpAddr, port| TcpListener::bind(SocketAddr::new(*ip, port)).is_ok();
    for first in (start..32_000).step_by(50) {
        let mut ports = first..first + count;
        let all = ips.iter().chain([&local]);
        if ports.all(|port| all.clone().all(|ip| is_free(ip, port))) {
            return Ok(first);
        }
    }
    Err(io::Error::other("no free ports"))
}

fn is_ready(addr: SocketAddr) -> bool {
    let ask = || -> io::Result<u16> {
        let stream = TcpStream::connect_timeout(&addr, Duration::from_millis(200))?;
        stream.set_read_timeout(Some(Duration::from_millis(500)))?;
        let mut conn = Conn::new(stream);
        let text = format!(
            "GET {} HTTP/1.1\r\nHost: {addr}\r\nConnection: close\r\n\r\n",
            name("ready_path")
        );
        conn.stream.write_all(text.as_bytes())?;
        Ok(conn.read_head()?.status())
    };
    ask().is_ok_and(|status| status == 200)
}

/// Whether the program of the deploy file has been built.
pub(crate) fn is_built() -> bool {
    Path::new("target/dist/sassafrasspool-mesh").exists()
}
