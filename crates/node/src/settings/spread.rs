//! Settings of the dissemination of versions between nodes.

use sassafrasspool_core::Faults;
use sassafrasspool_core::SpreadConfig;
use sassafrasspool_core::yaml::Table;

use super::PlatformSettings;
use super::value::millis_or;
use super::value::u32_or;
use super::value::usize_or;

/// The strategy and parameters of dissemination.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SpreadSettings {
    /// Which nodes read the platform.
    pub strategy: Strategy,
    /// Parameters of dissemination; the limit and share of the platform's reads come
    /// from the section `platform`.
    pub config: SpreadConfig,
}

/// Which nodes read the platform.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Strategy {
    /// A few nodes, which disseminate versions to the others.
    #[default]
    Spread,
    /// Every node reads for itself; for comparison.
    Naive,
}

impl SpreadSettings {
    pub(super) fn read(mut table: Table<'_>, faults: &mut Faults) -> Option<SpreadSettings> {
        let strategy = table.optional_text("strategy", faults, Strategy::from_name);
        let config = read_config(&mut table, faults);
        let place = table.place();
        table.finish(faults);
        let config = config?;
        if let Err(err) = config.clone().checked() {
            faults.add_at(Some(place), "spread", "", err.to_string());
        }
        Some(SpreadSettings {
            strategy: strategy.unwrap_or_default(),
            config,
        })
    }

    /// Sets the read rate and share of the section `platform`.
    pub(super) fn with_platform(mut self, platform: &PlatformSettings) -> SpreadSettings {
        self.config.reads_per_s = platform.reads_per_s;
        self.config.share_percent = platform.share_percent;
        self
    }
}

impl Strategy {
    fn from_name(name: &str) -> Result<Strategy, String> {
        match name {
            "spread" => Ok(Strategy::Spread),
            "naive" => Ok(Strategy::Naive),
            _ => Err(format!("must be spread or naive, is {name:?}")),
        }
    }
}

/// Reads the parameters, each within a fixed range. Ranges that depend on other
/// parameters are checked by [`SpreadConfig::checked`].
fn read_config(table: &mut Table<'_>, faults: &mut Faults) -> Option<SpreadConfig> {
    let default = SpreadConfig::default();
    let t = table;
    let f = faults;
    let fanout = u32_or(t, "fanout", 1..=16, default.fanout, f);
    let cross = u32_or(
        t,
        "cross_domain_percent",
        0..=100,
        default.cross_domain_percent,
        f,
    );
    let interval = millis_or(t, "interval_ms", 100..=60_000, default.interval, f);
    let linger = millis_or(t, "linger_ms", 0..=5_000, default.linger, f);
    let state_linger = millis_or(t, "state_linger_ms", 0..=5_000, default.state_linger, f);
    let eager_bytes = usize_or(t, "eager_bytes", 0..=65_536, default.eager_bytes, f);
    let history_count = usize_or(t, "history_count", 0..=4_096, default.history_count, f);
    let history_bytes = usize_or(
        t,
        "history_bytes",
        0..=MAX_HISTORY_BYTES,
        default.history_bytes,
        f,
    );
    let call_timeout = millis_or(t, "call_timeout_ms", 50..=60_000, default.call_timeout, f);
    let readers = u32_or(t, "readers", 1..=32, default.readers, f);
    let all_read = u32_or(t, "all_read", 0..=64, default.all_read, f);
    let fleet = u32_or(t, "assumed_fleet", 1..=1_000_000, default.assumed_fleet, f);
    let watch = millis_or(t, "watch_ms", 100..=30_000, default.watch, f);
    let rest = millis_or(t, "rest_ms", 0..=5_000, default.rest, f);
    let contact = millis_or(
        t,
        "contact_bound_ms",
        1_000..=600_000,
        default.contact_bound,
        f,
    );
    let staleness = millis_or(
        t,
        "staleness_bound_ms",
        300..=60_000,
        default.staleness_bound,
        f,
    );
    let takeover = millis_or(t, "takeover_step_ms", 10..=60_000, default.takeover_step, f);
    let base = millis_or(t, "backoff_base_ms", 10..=60_000, default.backoff_base, f);
    let cap = millis_or(t, "backoff_cap_ms", 10..=600_000, default.backoff_cap, f);
    let join_peers = u32_or(t, "join_peers", 0..=16, default.join_peers, f);
    let join_bound = millis_or(t, "join_bound_ms", 0..=300_000, default.join_bound, f);
    let pause = millis_or(t, "pause_bound_ms", 100..=600_000, default.pause_bound, f);
    Some(SpreadConfig {
        fanout: fanout?,
        cross_domain_percent: cross?,
        interval: interval?,
        linger: linger?,
        state_linger: state_linger?,
        eager_bytes: eager_bytes?,
        history_count: history_count?,
        history_bytes: history_bytes?,
        call_timeout: call_timeout?,
        readers: readers?,
        all_read: all_read?,
        assumed_fleet: fleet?,
        watch: watch?,
        rest: rest?,
        contact_bound: contact?,
        staleness_bound: staleness?,
        takeover_step: takeover?,
        backoff_base: base?,
        backoff_cap: cap?,
        join_peers: join_peers?,
        join_bound: join_bound?,
        pause_bound: pause?,
        ..default
    })
}

/// The largest allowed history of changes, in bytes.
const MAX_HISTORY_BYTES: u64 = 64 * 1024 * 1024;
