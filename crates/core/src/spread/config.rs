//! Settings of dissemination, with their defaults and ranges.

use std::fmt;
use std::time::Duration;

use crate::Error;
use crate::Result;
use crate::Step;

/// Settings of dissemination for versions and endpoint states.
///
/// Start from the default, change fields, and validate the whole with
/// [`SpreadConfig::checked`].
///
/// # Example
///
/// ```
/// use sassafrasspool_core::SpreadConfig;
///
/// let cfg = SpreadConfig {
///     fanout: 4,
///     ..SpreadConfig::default()
/// };
/// assert!(cfg.checked().is_ok());
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SpreadConfig {
    /// Peers to which a new version or state is announced at once, the
    /// successor among them: 1 to 16.
    pub fanout: u32,
    /// Percent of peers picked outside of the own failure domain: 0 to 100.
    pub cross_domain_percent: u32,
    /// Time between regular comparisons with a peer: 100 ms to 60 s.
    pub interval: Duration,
    /// How long the announcement of a new version is delayed, so that a burst
    /// of versions is announced once: at most 5 s.
    pub linger: Duration,
    /// The same for endpoint states: at most 5 s.
    pub state_linger: Duration,
    /// Maximum size, in bytes, of a change that is sent with its announcement:
    /// at most 64 KiB. 0 disables this.
    pub eager_bytes: usize,
    /// Changes kept for peers that are behind: at most 4,096.
    pub history_count: usize,
    /// Maximum size, in bytes, of the changes kept: at most 64 MiB.
    pub history_bytes: usize,
    /// Timeout of a call to a peer: 50 ms to 60 s.
    pub call_timeout: Duration,
    /// Minimum number of readers in the whole fleet, distributed over its
    /// failure domains so that each has one: 1 to 32.
    pub readers: u32,
    /// Largest fleet in which all nodes read: 0 to 64.
    ///
    /// A reader receives a change within a round trip. Other nodes receive it
    /// by announcement, which takes a second longer where a reader or a message
    /// was lost. A small fleet has few readers to lose and makes few reads. In
    /// a larger fleet in which all nodes read, each change of a large catalogue
    /// would saturate slow links and delay the requests behind it.
    pub all_read: u32,
    /// The platform's read budget in reads a second: 1 to 1,000,000.
    pub reads_per_s: u32,
    /// Percent of the read budget that the fleet may use: 1 to 100.
    pub share_percent: u32,
    /// Fleet size that is assumed until the instance list is known: 1 to
    /// 1,000,000. If it is too low, many nodes that join together read too
    /// often; if it is too high, a node without peers waits longer for its
    /// first read.
    pub assumed_fleet: u32,
    /// How long the platform may hold a watch: 100 ms to 30 s.
    pub watch: Duration,
    /// How long a reader pauses after the platform gave it a newer version, so
    /// that a burst of changes takes one read: at most 5 s. Changes that other
    /// nodes read during the pause are announced to it.
    pub rest: Duration,
    /// Age of the newest proof of contact with the platform at which other
    /// nodes begin to take over as readers: 1 s to 10 min, at least `watch`.
    pub contact_bound: Duration,
    /// How long a node may go without proof that it holds the newest versions
    /// before it reads the platform for itself: 300 ms to 60 s. Changes are in
    /// force everywhere a moment later, whichever nodes fail.
    pub staleness_bound: Duration,
    /// Delay between the takeover by one rank and by the next: 10 ms to 60 s.
    pub takeover_step: Duration,
    /// First backoff after a failed read: 10 ms to 60 s.
    pub backoff_base: Duration,
    /// Maximum backoff after failed reads: at least `backoff_base`, at most
    /// 10 min.
    pub backoff_cap: Duration,
    /// Peers with which a joining node compares its versions: 0 to 16.
    pub join_peers: u32,
    /// How long a joining node that has a snapshot waits for peers and the
    /// platform: at most 5 min.
    pub join_bound: Duration,
    /// Gap between events from which the process counts as having been paused:
    /// 100 ms to 10 min, at least `interval`.
    pub pause_bound: Duration,
}

impl Default for SpreadConfig {
    fn default() -> SpreadConfig {
        SpreadConfig {
            fanout: 3,
            cross_domain_percent: 30,
            interval: Duration::from_secs(2),
            linger: Duration::ZERO,
            state_linger: Duration::from_millis(50),
            eager_bytes: 512,
            history_count: 128,
            history_bytes: 1024 * 1024,
            call_timeout: Duration::from_secs(2),
            readers: 4,
            all_read: 0,
            reads_per_s: 2_000,
            share_percent: 25,
            assumed_fleet: 1_000,
            watch: Duration::from_secs(3),
            rest: Duration::ZERO,
            contact_bound: Duration::from_secs(9),
            staleness_bound: Duration::from_millis(1_500),
            takeover_step: Duration::from_secs(1),
            backoff_base: Duration::from_millis(200),
            backoff_cap: Duration::from_secs(10),
            join_peers: 3,
            join_bound: Duration::from_secs(5),
            pause_bound: Duration::from_secs(8),
        }
    }
}

impl SpreadConfig {
    /// Returns these settings if each is in its range.
    ///
    /// # Errors
    ///
    /// Fails with the name of the first setting that is out of its range.
    pub fn checked(self) -> Result<SpreadConfig> {
        let ms = Duration::from_millis;
        let secs = Duration::from_secs;
        range("fanout", self.fanout, 1, 16)?;
        range("cross_domain_percent", self.cross_domain_percent, 0, 100)?;
        range("interval", self.interval, ms(100), secs(60))?;
        range("linger", self.linger, ms(0), secs(5))?;
        range("state_linger", self.state_linger, ms(0), secs(5))?;
        range("eager_bytes", self.eager_bytes, 0, 64 * 1024)?;
        range("history_count", self.history_count, 0, 4_096)?;
        range("history_bytes", self.history_bytes, 0, 64 * 1024 * 1024)?;
        range("call_timeout", self.call_timeout, ms(50), secs(60))?;
        range("readers", self.readers, 1, 32)?;
        range("all_read", self.all_read, 0, 64)?;
        range("reads_per_s", self.reads_per_s, 1, 1_000_000)?;
        range("share_percent", self.share_percent, 1, 100)?;
        range("assumed_fleet", self.assumed_fleet, 1, 1_000_000)?;
        range("watch", self.watch, ms(100), secs(30))?;
        range("rest", self.rest, ms(0), secs(5))?;
        range("contact_bound", self.contact_bound, secs(1), secs(600))?;
        range("contact_bound", self.contact_bound, self.watch, secs(600))?;
        range("staleness_bound", self.staleness_bound, ms(300), secs(60))?;
        range("takeover_step", self.takeover_step, ms(10), secs(60))?;
        range("backoff_base", self.backoff_base, ms(10), secs(60))?;
        range(
            "backoff_cap",
            self.backoff_cap,
            self.backoff_base,
            secs(600),
        )?;
        range("join_peers", self.join_peers, 0, 16)?;
        range("join_bound", self.join_bound, ms(0), secs(300))?;
        range("pause_bound", self.pause_bound, ms(100), secs(600))?;
        range("pause_bound", self.pause_bound, self.interval, secs(600))?;
        Ok(self)
    }
}

fn range<V: PartialOrd + fmt::Debug>(name: &str, value: V, min: V, max: V) -> Result<()> {
    if value < min || value > max {
        let reason = format!("{name} is {value:?}, must be {min:?} to {max:?}");
        return Err(Error::new(Step::Settings, reason));
    }
    Ok(())
}
