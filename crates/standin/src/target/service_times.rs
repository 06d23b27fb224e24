//! How long a request runs, by its kind.

use std::collections::BTreeMap;
use std::time::Duration;

use sassafrasspool_core::KindName;
use sassafrasspool_core::RoutePath;
use serde::Deserialize;

/// Service times by kind, and kinds by path.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceTimes {
    /// Microseconds for a kind that isn't in `kinds_us`.
    pub default_us: u64,
    /// Microseconds by kind.
    pub kinds_us: BTreeMap<KindName, u64>,
    /// Kinds by path, for requests that name no kind; the longest path that
    /// takes the request decides.
    pub paths: BTreeMap<RoutePath, KindName>,
}

impl ServiceTimes {
    /// The kind of requests for `path` that name none.
    pub(super) fn kind_of_path(&self, path: &str) -> Option<&KindName> {
        let taking = self.paths.iter().filter(|(route, _)| route.matches(path));
        let longest = taking.max_by_key(|(route, _)| route.as_str().len())?;
        Some(longest.1)
    }

    /// How long a request of `kind` runs.
    pub(super) fn time(&self, kind: Option<&KindName>) -> Duration {
        let us = kind.and_then(|kind| self.kinds_us.get(kind));
        Duration::from_micros(*us.unwrap_or(&self.default_us))
    }
}
