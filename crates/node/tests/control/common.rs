//! Support shared by the tests of whole nodes and of the program.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::StatusCode;
use http::header::HOST;
use http_body_util::BodyExt;
use http_body_util::Empty;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use sassafrasspool_core::Instance;
use sassafrasspool_core::InstanceState;
use sassafrasspool_node::NodeAddrs;
use sassafrasspool_node::Settings;
use sassafrasspool_standin::TargetSettings;
use sassafrasspool_standin::target::ServiceTimes;
use tokio::net::TcpStream;

/// A catalogue with one service, to which every node belongs.
pub(crate) const CATALOGUE: &str = "
kinds:
  lookup: {weight: 1}
services:
  workshop-desk:
    owner: fitters
    class: standard
    limits: {rate_per_s: 100, concurrency: 10, deadline_ms: 2000}
    routes:
      - {path: /workshop, kind: lookup, idempotent: true}
";

/// The settings of node `n` as YAML; each address takes any free port.
pub(crate) fn settings_text(n: usize, target: SocketAddr, platform: SocketAddr) -> String {
    let domain = ["bayanzurkh", "khan-uul", "sukhbaatar"][n % 3];
    format!(
        "
instance: wd-{n}
service: workshop-desk
region: ulaanbaatar
domain: {domain}
listen:
  ingress: 127.0.0.1:0
  egress: 127.0.0.1:0
  traffic: 127.0.0.1:0
  control: 127.0.0.1:0
  admin: 127.0.0.1:0
target: {{addr: '{target}', slots: 10, ready_path: /healthz, probe_ms: 20}}
platform: {{addr: '{platform}'}}
spread: {{interval_ms: 100, assumed_fleet: 3, backoff_base_ms: 20, backoff_cap_ms: 200}}
log: {{format: json}}
"
    )
}

/// The entry of a node in the instance list.
pub(crate) fn instance_of(settings: &Settings, addrs: NodeAddrs) -> Instance {
    Instance {
        id: settings.instance.clone(),
        service: settings.service.clone(),
        region: settings.region.clone(),
        domain: settings.domain.clone(),
        traffic: addrs.traffic,
        control: addrs.control,
        slots: settings.target.slots,
        connections: 120,
        state: InstanceState::Live,
        target: None,
        cold_for: Duration::ZERO,
    }
}

/// Settings of a target that runs each request for `service`.
pub(crate) fn slow_target(service: Duration) -> TargetSettings {
    let us = u64::try_from(service.as_micros()).expect("a service time below 2^64 µs");
    TargetSettings {
        service: ServiceTimes {
            default_us: us,
            ..ServiceTimes::default()
        },
        ..TargetSettings::default()
    }
}

/// [`CATALOGUE`] with a deadline of 60 s, longer than any test.
pub(crate) fn catalogue_with_long_deadline() -> String {
    CATALOGUE.replace("deadline_ms: 2000", "deadline_ms: 60000")
}

/// Sends one HTTP request; returns the status and the body of the answer.
pub(crate) async fn request_text(
    method: &str,
    addr: SocketAddr,
    path: &str,
) -> (StatusCode, String) {
    let answer = try_request_text(method, addr, path).await;
    answer.expect("a whole answer")
}

/// Like [`request_text`], but returns `None` unless the whole answer arrives.
pub(crate) async fn try_request_text(
    method: &str,
    addr: SocketAddr,
    path: &str,
) -> Option<(StatusCode, String)> {
    let io = TcpStream::connect(addr).await.ok()?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(io)).await.ok()?;
    tokio::spawn(connection);
    let req = Request::builder()
        .method(method)
        .uri(path)
        .header(HOST, addr.to_string())
        .body(Empty::<Bytes>::new())
        .expect("a valid request");
    let res = sender.send_request(req).await.ok()?;
    let status = res.status();
    let body = res.into_body().collect().await.ok()?;
    let text = String::from_utf8(body.to_bytes().to_vec()).expect("a UTF-8 body");
    Some((status, text))
}
