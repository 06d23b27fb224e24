//! The platform stand-in: a configuration source that can only be read and
//! watched. The system runs against it in tests in place of a real platform.

mod admin_api;
mod instance_list;
mod published_value;
mod read_api;
mod read_budget;
mod read_counter;
mod refusal;
mod settings;
mod shared;
mod state;
mod stats;
mod stream_values;
mod switches;
#[cfg(test)]
mod tests;
mod waiter_count;

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderName;
use sassafrasspool_core::Error;
use sassafrasspool_core::Instance;
use sassafrasspool_core::InstanceId;
use sassafrasspool_core::Result;
use sassafrasspool_core::Revision;
use sassafrasspool_core::Step;
use sassafrasspool_core::Stream;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tokio_util::sync::DropGuard;
use tokio_util::task::TaskTracker;

pub use self::instance_list::InstanceChange;
pub use self::settings::PlatformSettings;
pub use self::stats::PlatformStats;
pub use self::switches::CopyRevisions;
pub use self::switches::PlatformSwitches;

use self::instance_list::ListBody;
use self::read_counter::ReadCounter;
use self::shared::Shared;
use crate::serve;

/// The maximum size of a published value in bytes.
pub const MAX_VALUE_BYTES: usize = 1_048_576;

/// The maximum wait of a watch.
pub const MAX_WAIT: Duration = Duration::from_secs(30);

/// Header of answers 200 and 304 with the revision of the value read.
pub const REVISION_HEADER: HeaderName = HeaderName::from_static("x-revision");

/// Header of answers 200 and 304 with the number of returns from an older copy.
pub const EPOCH_HEADER: HeaderName = HeaderName::from_static("x-epoch");

/// A running platform stand-in; it stops when dropped.
///
/// # Example
///
/// ```
/// use sassafrasspool_standin::Platform;
/// use sassafrasspool_standin::PlatformSettings;
/// use tokio_util::sync::CancellationToken;
///
/// # #[tokio::main]
/// # async fn main() -> sassafrasspool_core::Result<()> {
/// let platform = Platform::start(PlatformSettings::default(), CancellationToken::new()).await?;
/// let revision = platform.publish_catalogue("kinds: {}\nservices: {}\n")?;
/// assert_eq!(revision.get(), 1);
/// platform.stop().await;
/// # Ok(())
/// # }
/// ```
#[derive(Debug)]
pub struct Platform {
    shared: Arc<Shared>,
    addr: SocketAddr,
    admin_addr: SocketAddr,
    tasks: TaskTracker,
    guard: DropGuard,
}

impl Platform {
    /// Binds both ports and publishes the files named in the settings.
    ///
    /// # Errors
    ///
    /// Fails if a port can't be bound, or a file can't be read or published.
    pub async fn start(cfg: PlatformSettings, cancel: CancellationToken) -> Result<Platform> {
        let (listener, addr) = serve::bind(cfg.listen).await?;
        let (admin, admin_addr) = serve::bind(cfg.admin).await?;
        let cancel = cancel.child_token();
        let shared = Arc::new(Shared::new(&cfg, cancel.clone()));
        let tasks = TaskTracker::new();
        tasks.spawn(serve::serve(
            listener,
            read_api::router(shared.clone()),
            cancel.clone(),
        ));
        tasks.spawn(serve::serve(
            admin,
            admin_api::router(shared.clone()),
            cancel.clone(),
        ));
        tasks.close();
        let guard = cancel.drop_guard();
        let platform = Platform {
            shared,
            addr,
            admin_addr,
            tasks,
            guard,
        };
        platform.publish_files(&cfg)?;
        Ok(platform)
    }

    /// The address of the read port.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// The address of the admin port.
    pub fn admin_addr(&self) -> SocketAddr {
        self.admin_addr
    }

    /// Publishes a catalogue at the next revision. Its text isn't validated,
    /// so that tests can serve an invalid catalogue to readers.
    ///
    /// # Errors
    ///
    /// Fails if the text is over [`MAX_VALUE_BYTES`].
    pub fn publish_catalogue(&self, text: &str) -> Result<Revision> {
        self.put_catalogue(text, None)
    }

    /// Publishes a catalogue at the given revision.
    ///
    /// # Errors
    ///
    /// Fails if the text is over [`MAX_VALUE_BYTES`], or the revision isn't
    /// above the newest one.
    pub fn publish_catalogue_at(&self, text: &str, revision: Revision) -> Result<Revision> {
        self.put_catalogue(text, Some(revision))
    }

    /// Publishes an instance list at the next revision, visible after the
    /// configured lag.
    ///
    /// # Errors
    ///
    /// Fails if the list as JSON is over [`MAX_VALUE_BYTES`].
    pub fn publish_instances(&self, list: &[Instance]) -> Result<Revision> {
        self.put_instances(list, None)
    }

    /// Publishes an instance list at the given revision.
    ///
    /// # Errors
    ///
    /// Fails if the list as JSON is over [`MAX_VALUE_BYTES`], or the revision
    /// isn't above the newest one.
    pub fn publish_instances_at(&self, list: &[Instance], revision: Revision) -> Result<Revision> {
        self.put_instances(list, Some(revision))
    }

    /// Publishes the newest list with one instance changed.
    ///
    /// # Errors
    ///
    /// Fails if the list doesn't contain the instance.
    pub fn set_instance_state(&self, id: &InstanceId, change: InstanceChange) -> Result<Revision> {
        Ok(self
            .shared
            .change(|state, now| state.change_instance(id, change, now))?)
    }

    /// Applies the switches that are present, as the admin port does.
    pub fn apply_switches(&self, switches: &PlatformSwitches) {
        self.shared.apply_switches(switches);
    }

    /// Begins or ends an outage, in which every read is answered with 503.
    pub fn set_outage(&self, outage: bool) {
        self.apply_switches(&PlatformSwitches {
            outage: Some(outage),
            ..PlatformSwitches::default()
        });
    }

    /// Stops or resumes answering reads: see [`PlatformSwitches::silent`].
    pub fn set_silent(&self, silent: bool) {
        self.apply_switches(&PlatformSwitches {
            silent: Some(silent),
            ..PlatformSwitches::default()
        });
    }

    /// Returns to an older copy of the data, in the next epoch. What was published since
    /// is lost, and its revisions are given out again.
    pub fn restore(&self, copy: CopyRevisions) {
        self.apply_switches(&PlatformSwitches {
            restore: Some(copy),
            ..PlatformSwitches::default()
        });
    }

    /// Begins or ends serving only the values that are visible now.
    pub fn set_stale(&self, stale: bool) {
        self.apply_switches(&PlatformSwitches {
            stale: Some(stale),
            ..PlatformSwitches::default()
        });
    }

    /// Serves only an older revision of one stream until staleness is switched
    /// off.
    ///
    /// # Errors
    ///
    /// Fails if the revision isn't among the last 16.
    pub fn set_stale_revision(&self, stream: Stream, revision: Revision) -> Result<()> {
        Ok(self
            .shared
            .change(|state, _| state.values_mut(stream).freeze_at(revision))?)
    }

    /// Sets the delay after which lists published from now on become visible.
    pub fn set_list_lag(&self, lag: Duration) {
        self.shared.change(|state, _| state.list_lag = lag);
    }

    /// Sets the delay between determining an answer and sending it.
    pub fn set_answer_delay(&self, delay: Duration) {
        self.shared.change(|state, _| state.answer_delay = delay);
    }

    /// Counts of reads since the start or the last reset.
    pub fn stats(&self) -> PlatformStats {
        self.shared.stats()
    }

    /// Resets the counts of reads.
    pub fn reset_stats(&self) {
        self.shared.state().reads = ReadCounter::new(Instant::now());
    }

    /// Stops the platform and waits until both ports are closed.
    pub async fn stop(self) {
        drop(self.guard);
        self.tasks.wait().await;
    }

    /// Waits until the token passed to [`Platform::start`] has stopped the platform.
    pub async fn stopped(&self) {
        self.tasks.wait().await;
    }

    fn put_catalogue(&self, text: &str, forced: Option<Revision>) -> Result<Revision> {
        let body = Bytes::copy_from_slice(text.as_bytes());
        Ok(self
            .shared
            .change(|state, now| state.publish_catalogue(body, forced, now))?)
    }

    fn put_instances(&self, list: &[Instance], forced: Option<Revision>) -> Result<Revision> {
        let list = list.to_vec();
        Ok(self
            .shared
            .change(|state, now| state.publish_instances(list, forced, now))?)
    }

    fn publish_files(&self, cfg: &PlatformSettings) -> Result<()> {
        if let Some(path) = &cfg.catalogue {
            self.publish_catalogue(&read_text(path)?)?;
        }
        if let Some(path) = &cfg.instances {
            let list = ListBody::decode(read_text(path)?.as_bytes())?;
            self.publish_instances(&list)?;
        }
        Ok(())
    }
}

fn read_text(path: &Path) -> Result<String> {
    std::fs::read_to_string(path).map_err(|e| {
        Error::new(Step::Settings, format!("cannot read {}", path.display())).with_cause(e)
    })
}
