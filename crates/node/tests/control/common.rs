//! What the tests of whole nodes and of the program have in common.

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

/// A catalogue whose one service is that of all nodes.
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

/// The settings of node number `n` as text, whose ports are any free ones.
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

/// A node as the platform lists it.
pub(crate) fn instance(settings: &Settings, addrs: NodeAddrs) -> Instance {
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

/// A target that takes `service` for each request.
pub(crate) fn slow_target(service: Duration) -> TargetSettings {
    let us = u64::try_from(service.as_micros()).expect("a service time");
    TargetSettings {
        service: ServiceTimes {
            default_us: us,
            ..ServiceTimes::default()
        },
        ..TargetSettings::default()
    }
}

/// The catalogue with a deadline that no test outlasts.
pub(crate) fn patient() -> String {
    CATALOGUE.replace("deadline_ms: 2000", "deadline_ms: 60000")
}

/// Asks an HTTP address once; gives the status and the body.
pub(crate) async fn http_text(method: &str, addr: SocketAddr, path: &str) -> (StatusCode, String) {
    let answer = try_http_text(method, addr, path).await;
    answer.expect("a whole answer")
}

/// The same, or nothing if the answer didn't come whole.
pub(crate) async fn try_http_text(
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
        .expect("a request");
    let res = sender.send_request(req).await.ok()?;
    let status = res.status();
    let body = res.into_body().collect().await.ok()?;
    let text = String::from_utf8(body.to_bytes().to_vec()).expect("text");
    Some((status, text))
}
