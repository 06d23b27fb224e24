//! Routes by host and path.

use std::collections::BTreeMap;
use std::collections::HashMap;

use crate::BoundRoute;
use crate::HostName;
use crate::RoutePath;
use crate::catalogue::strip_port;

type ByPath = BTreeMap<RoutePath, BoundRoute>;

/// The routes of a snapshot: those of each host, and those of any host.
#[derive(Debug, Clone, Default)]
pub(super) struct RouteTable {
    by_host: HashMap<HostName, ByPath>,
    any_host: ByPath,
    /// Whether a route may not be served everywhere.
    has_homes: bool,
}

impl RouteTable {
    /// Takes a route in under its host and path.
    pub(super) fn insert(&mut self, bound: BoundRoute) {
        let path = bound.route.path.clone();
        self.has_homes |= !bound.route.homes.is_anywhere();
        let routes = match &bound.route.host {
            Some(host) => self.by_host.entry(host.clone()).or_default(),
            None => &mut self.any_host,
        };
        routes.insert(path, bound);
    }

    /// Whether a route may not be served everywhere.
    pub(super) fn has_homes(&self) -> bool {
        self.has_homes
    }

    /// All routes, those of any host first, each in the order of their paths.
    pub(super) fn iter(&self) -> impl Iterator<Item = &BoundRoute> {
        let of_hosts = self.by_host.values().flat_map(ByPath::values);
        self.any_host.values().chain(of_hosts)
    }

    /// The route with the longest path that takes `path`: of the host's own if
    /// one does, else of any host's.
    pub(super) fn find(&self, host: Option<&str>, path: &str) -> Option<&BoundRoute> {
        let own = host.and_then(|host| self.of_host(strip_port(host)));
        let own = own.and_then(|routes| longest(routes, path));
        own.or_else(|| longest(&self.any_host, path))
    }

    fn of_host(&self, host: &str) -> Option<&ByPath> {
        match self.by_host.get(host) {
            Some(routes) => Some(routes),
            None if host.bytes().any(|byte| byte.is_ascii_uppercase()) => {
                self.by_host.get(host.to_ascii_lowercase().as_str())
            }
            None => None,
        }
    }
}

/// Looks for ever shorter parts of `path`: whole segments, each with the slash
/// that follows it and then without.
fn longest<'a>(routes: &'a ByPath, path: &str) -> Option<&'a BoundRoute> {
    let mut part = path;
    while !part.is_empty() {
        if let Some(found) = routes.get(part) {
            return Some(found);
        }
        part = match part.strip_suffix('/') {
            Some(cut) => cut,
            None => &part[..=part.rfind('/')?],
        };
    }
    None
}
