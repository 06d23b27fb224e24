//! What the operator and the targets write to the store.

use std::net::SocketAddr;

use crate::names::name;
use crate::store::Store;

/// A route to one service.
#[derive(Debug, Clone)]
pub struct Route {
    pub key: String,
    pub prefix: String,
    pub service: String,
    /// Whether requests may run more than once.
    pub safe: bool,
    /// The most targets that one attempt of a consumer may be sent to.
    pub attempts: u32,
}

impl Route {
    pub fn new(key: &str, prefix: &str, service: &str) -> Route {
        Route {
            key: key.to_owned(),
            prefix: prefix.to_owned(),
            service: service.to_owned(),
            safe: true,
            attempts: 2,
        }
    }
}

/// The host of all routes.
pub const HOST: &str = "desk.example";

/// The bytes of a request's head that consumers may send by default.
pub const HEAD_BYTES: u32 = 16_384;

/// The text of a configuration.
pub fn config_text(version: u64, routes: &[Route], services: &[&str]) -> String {
    limited_config_text(version, routes, services, HEAD_BYTES)
}

/// The text of a configuration with this limit on the bytes of a request's head.
pub fn limited_config_text(
    version: u64,
    routes: &[Route],
    services: &[&str],
    head_bytes: u32,
) -> String {
    let route = |route: &Route| {
        let kind = if route.safe { "safe" } else { "unsafe" };
        format!(
            "\"{}\":{{\"host\":\"{HOST}\",\"prefix\":\"{}\",\"{}\":\"{kind}\",\"{}\":1.2,\"{}\":0.6,\"priority\":1,\"service\":\"{}\",\"attempts\":{}}}",
            route.key,
            route.prefix,
            name("repeats"),
            name("timeout_s"),
            name("aim_s"),
            route.service,
            route.attempts
        )
    };
    let service = |service: &&str| {
        format!(
            "\"{service}\":{{\"{}\":\"{}\",\"{}\":130,\"protocol\":\"h1\",\"tls\":false}}",
            name("health"),
            name("health_path"),
            name("connections"),
        )
    };
    let routes: Vec<String> = routes.iter().map(route).collect();
    let services: Vec<String> = services.iter().map(service).collect();
    format!(
        "{{\"{}\":\"r{version}\",\"routes\":{{{}}},\"services\":{{{}}},\"limits\":{{\"{}\":{head_bytes},\"{}\":67108864,\"{}\":3,\"{}\":15}}}}",
        name("version"),
        routes.join(","),
        services.join(","),
        name("header_bytes"),
        name("body_bytes"),
        name("header_s"),
        name("idle_s"),
    )
}

/// Writes a configuration. The return is the acknowledgement.
pub fn publish(store: &Store, version: u64, routes: &[Route], services: &[&str]) {
    store.put(name("config_key"), &config_text(version, routes, services));
}

/// The entry of a target.
#[derive(Debug, Clone)]
pub struct Entry {
    pub id: String,
    pub service: String,
    pub addr: SocketAddr,
    pub zone: String,
    pub state: &'static str,
    pub sequence: u64,
    /// Unix milliseconds of the target's start, where targets report it.
    pub born: Option<u64>,
}

impl Entry {
    /// Writes the entry. The return is the acknowledgement.
    pub fn register(&self, store: &Store) {
        let born = self
            .born
            .map(|ms| format!(",\"born\":{ms}"))
            .unwrap_or_default();
        let text = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"{}\":\"v1\",\"slots\":6,\"state\":\"{}\",\"{}\":0,\"sequence\":{}{born}}}",
            self.service,
            self.addr,
            self.zone,
            name("version"),
            self.state,
            name("cold"),
            self.sequence,
        );
        store.put(&format!("{}{}", name("target_prefix"), self.id), &text);
    }

    /// Removes the entry.
    pub fn remove(&self, store: &Store) {
        store.remove(&format!("{}{}", name("target_prefix"), self.id));
    }
}
