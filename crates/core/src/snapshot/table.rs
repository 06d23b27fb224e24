//! The route table, indexed by host and path.

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
    /// Whether a route is restricted to some regions.
    has_homes: bool,
}

impl RouteTable {
    /// Adds a route under its host and path.
    pub(super) fn insert(&mut self, bound: BoundRoute) {
        let path = bound.route.path.clone();
        self.has_homes |= !bound.route.homes.is_unrestricted();
        let routes = match &bound.route.host {
            Some(host) => self.by_host.entry(host.clone()).or_default(),
            None => &mut self.any_host,
        };
        routes.insert(path, bound);
    }

    /// Whether a route is restricted to some regions.
    pub(super) fn has_homes(&self) -> bool {
        self.has_homes
    }

    /// All routes, those of any host first, each in the order of their paths.
    pub(super) fn iter(&self) -> impl Iterator<Item = &BoundRoute> {
        let of_hosts = self.by_host.values().flat_map(ByPath::values);
        self.any_host.values().chain(of_hosts)
    }

    /// The route with the longest path that matches `path`: among the routes of the
    /// host if one matches, otherwise among the routes of any host.
    pub(super) fn find(&self, host: Option<&str>, path: &str) -> Option<&BoundRoute> {
        let routes = host.and_then(|host| self.routes_of_host(strip_port(host)));
        let found = routes.and_then(|routes| longest_match(routes, path));
        found.or_else(|| longest_match(&self.any_host, path))
    }

    fn routes_of_host(&self, host: &str) -> Option<&ByPath> {
        match self.by_host.get(host) {
            Some(routes) => Some(routes),
            None if host.bytes().any(|byte| byte.is_ascii_uppercase()) => {
                self.by_host.get(host.to_ascii_lowercase().as_str())
            }
            None => None,
        }
    }
}

/// Looks up ever shorter prefixes of `path` by whole segments, each one first with and
/// then without its trailing slash.
fn longest_match<'a>(routes: &'a ByPath, path: &str) -> Option<&'a BoundRoute> {
    let mut prefix = path;
    while !prefix.is_empty() {
        if let Some(found) = routes.get(prefix) {
            return Some(found);
        }
        prefix = match prefix.strip_suffix('/') {
            Some(shorter) => shorter,
            None => &prefix[..=prefix.rfind('/')?],
        };
    }
    None
}
