//! The deployed program, as separate processes.

use std::fs::File;
use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use crate::http::Reader;
use crate::settings;
use crate::store::Store;
use crate::wire;

/// The ports that are the same on all machines.
#[derive(Debug, Clone, Copy)]
pub struct Ports {
    pub outbound: u16,
    pub inbound: u16,
    pub control: u16,
    pub ready: u16,
    pub app: u16,
}

impl Ports {
    /// Ports that are free on these addresses.
    pub fn find(ips: &[String]) -> io::Result<Ports> {
        let mut found = Vec::new();
        let mut held = Vec::new();
        while found.len() < 5 {
            let listener = TcpListener::bind(("127.0.0.1", 0))?;
            let port = listener.local_addr()?.port();
            let others = ips.iter().map(|ip| TcpListener::bind((ip.as_str(), port)));
            if others.collect::<io::Result<Vec<_>>>().is_ok() {
                found.push(port);
            }
            held.push(listener);
        }
        Ok(Ports {
            outbound: found[0],
            inbound: found[1],
            control: found[2],
            ready: found[3],
            app: found[4],
        })
    }
}

/// The place of a node.
#[derive(Debug, Clone)]
pub struct Place {
    pub ip: String,
    pub zone: String,
    pub service: String,
    pub ports: Ports,
    pub seeds: Vec<String>,
}

/// A running node, which is killed when this is dropped.
#[derive(Debug)]
pub struct Node {
    pub place: Place,
    child: Child,
}

impl Node {
    /// Starts the program that the deploy file names, with settings from its template.
    pub fn start(root: &Path, folder: &Path, place: Place, store: &Store) -> io::Result<Node> {
        let deploy = std::fs::read_to_string(root.join("deploy/system.toml"))?;
        let run = value_of(&deploy, "run");
        let template = std::fs::read_to_string(root.join(value_of(&deploy, "template")))?;
        let own = free_port()?;
        let vars = [
            ("ip", place.ip.clone()),
            ("service", place.service.clone()),
            ("region", "tas".to_owned()),
            ("zone", place.zone.clone()),
            ("outbound", place.ports.outbound.to_string()),
            ("inbound", place.ports.inbound.to_string()),
            ("control", place.ports.control.to_string()),
            ("ready", place.ports.ready.to_string()),
            ("app", place.ports.app.to_string()),
            ("first_port", own.to_string()),
            ("last_port", free_port()?.to_string()),
            ("store", store.addr().to_string()),
            ("link_mbps", "1000.0".to_owned()),
            ("seeds", place.seeds.join(",")),
        ];
        let path = folder.join(format!("{}.yaml", place.ip));
        std::fs::write(&path, settings::render(&template, &vars))?;
        let log = File::create(folder.join(format!("{}.log", place.ip)))?;
        let mut words = run.split(' ');
        let program: PathBuf = root.join(words.next().unwrap_or_default());
        let child = Command::new(program)
            .args(words)
            .current_dir(root)
            .env_clear()
            .env(wire::name("settings.variable"), &path)
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .spawn()?;
        Ok(Node { place, child })
    }

    /// The address at which consumers send requests.
    pub fn outbound(&self) -> SocketAddr {
        self.addr(self.place.ports.outbound)
    }

    /// Waits until the node says that it is ready.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.is_ready().unwrap_or(false) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        false
    }

    fn is_ready(&self) -> io::Result<bool> {
        let stream = TcpStream::connect(self.addr(self.place.ports.ready))?;
        let path = wire::name("ready_path");
        io::Write::write_all(
            &mut &stream,
            format!("GET {path} HTTP/1.1\r\nhost: node\r\nconnection: close\r\n\r\n").as_bytes(),
        )?;
        let mut reader = Reader::new(stream);
        reader.set_deadline(Instant::now() + Duration::from_secs(1));
        let head = reader.head()?;
        Ok(head.is_some_and(|head| head.second_word() == "200"))
    }

    fn addr(&self, port: u16) -> SocketAddr {
        let text = format!("{}:{port}", self.place.ip);
        text.parse().expect("a loopback address")
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn free_port() -> io::Result<u16> {
    Ok(TcpListener::bind(("127.0.0.1", 0))?.local_addr()?.port())
}

/// The text of a key of the deploy file.
fn value_of(text: &str, key: &str) -> String {
    let line = text
        .lines()
        .find(|line| line.starts_with(&format!("{key} =")));
    let value = line.and_then(|line| line.split('"').nth(1));
    value.unwrap_or_default().to_owned()
}
