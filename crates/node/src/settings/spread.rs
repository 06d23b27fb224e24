//! How versions travel between nodes.

use sassafrasspool_core::Faults;
use sassafrasspool_core::SpreadConfig;
use sassafrasspool_core::yaml::Table;

use super::PlatformSettings;
use super::value::millis_or;
use super::value::u32_or;
use super::value::usize_or;

/// How versions travel.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SpreadSettings {
    /// Who reads the platform.
    pub strategy: Strategy,
    /// Parameters of the decisions; the share of the platform's reads comes
    /// from the section of the platform.
    pub config: SpreadConfig,
}

/// Who reads the platform.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Strategy {
    /// A few nodes, from which the others hear.
    #[default]
    Spread,
    /// Every node for itself, for comparison.
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

    /// Takes over what the platform allows.
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

/// Reads the parameters; ranges that depend on one another are checked by
/// [`SpreadConfig::checked`].
fn read_config(table: &mut Table<'_>, faults: &mut Faults) -> Option<SpreadConfig> {
    let was = SpreadConfig::default();
    let t = table;
    let f = faults;
    let fanout = u32_or(t, "fanout", 1..=16, was.fanout, f);
    let cross = u32_or(
        t,
        "cross_domain_percent",
        0..=100,
        was.cross_domain_percent,
        f,
    );
    let interval = millis_or(t, "interval_ms", 100..=60_000, was.interval, f);
    let linger = millis_or(t, "linger_ms", 0..=5_000, was.linger, f);
    let state_linger = millis_or(t, "state_linger_ms", 0..=5_000, was.state_linger, f);
    let eager_bytes = usize_or(t, "eager_bytes", 0..=65_536, was.eager_bytes, f);
    let history_count = usize_or(t, "history_count", 0..=4_096, was.history_count, f);
    let history_bytes = usize_or(t, "history_bytes", 0..=MAX_HISTORY, was.history_bytes, f);
    let call_timeout = millis_or(t, "call_timeout_ms", 50..=60_000, was.call_timeout, f);
    let readers = u32_or(t, "readers", 1..=32, was.readers, f);
    let all_read = u32_or(t, "all_read", 0..=64, was.all_read, f);
    let fleet = u32_or(t, "assumed_fleet", 1..=1_000_000, was.assumed_fleet, f);
    let watch = millis_or(t, "watch_ms", 100..=30_000, was.watch, f);
    let rest = millis_or(t, "rest_ms", 0..=5_000, was.rest, f);
    let contact = millis_or(t, "contact_bound_ms", 1_000..=600_000, was.contact_bound, f);
    let takeover = millis_or(t, "takeover_step_ms", 10..=60_000, was.takeover_step, f);
    let base = millis_or(t, "backoff_base_ms", 10..=60_000, was.backoff_base, f);
    let cap = millis_or(t, "backoff_cap_ms", 10..=600_000, was.backoff_cap, f);
    let join_peers = u32_or(t, "join_peers", 0..=16, was.join_peers, f);
    let join_bound = millis_or(t, "join_bound_ms", 0..=300_000, was.join_bound, f);
    let pause = millis_or(t, "pause_bound_ms", 100..=600_000, was.pause_bound, f);
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
        takeover_step: takeover?,
        backoff_base: base?,
        backoff_cap: cap?,
        join_peers: join_peers?,
        join_bound: join_bound?,
        pause_bound: pause?,
        ..was
    })
}

/// The most bytes of changes that a node may be told to keep.
const MAX_HISTORY: u64 = 64 * 1024 * 1024;
