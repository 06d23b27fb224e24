//! The service time of a request, by its kind.

use std::collections::BTreeMap;
use std::time::Duration;

use sassafrasspool_core::KindName;
use sassafrasspool_core::RoutePath;
use serde::Deserialize;

/// Service times by kind, and kinds by path.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceTimes {
    /// Microseconds for requests without a kind, or of a kind that isn't in `kinds_us`.
    pub default_us: u64,
    /// Microseconds by kind.
    pub kinds_us: BTreeMap<KindName, u64>,
    /// Kinds by path, for requests without a kind header; the longest matching
    /// path wins.
    pub paths: BTreeMap<RoutePath, KindName>,
}

impl ServiceTimes {
    /// The kind of requests for `path` without a kind header.
    pub(super) fn kind_of_path(&self, path: &str) -> Option<&KindName> {
        let matching = self.paths.iter().filter(|(route, _)| route.matches(path));
        let longest = matching.max_by_key(|(route, _)| route.as_str().len())?;
        Some(longest.1)
    }

    /// The service time of a request of `kind`.
    pub(super) fn time(&self, kind: Option<&KindName>) -> Duration {
        let us = kind.and_then(|kind| self.kinds_us.get(kind));
        Duration::from_micros(*us.unwrap_or(&self.default_us))
    }
}
