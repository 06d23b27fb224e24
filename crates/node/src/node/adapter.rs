//! Adapts a node to a platform.

use std::fmt;
use std::sync::Arc;

use sassafrasspool_wire::SocketBytes;
use sassafrasspool_wire::platform::PlatformClient;
use sassafrasspool_wire::platform::Source;

use crate::Dialect;
use crate::Settings;
use crate::log::LogSink;

/// Makes the source that reads a platform; its sockets count their bytes with
/// the given counter.
type MakeSource = fn(&Settings, Arc<SocketBytes>) -> Arc<dyn Source>;

/// The protocols between a node and the platform, its callers and its target.
///
/// The default is this project's own protocol. A deployment on another platform
/// provides its own adapter; the rest of the program is the same.
#[derive(Clone)]
pub struct Adapter {
    /// Header names and conventions of callers and targets.
    pub dialect: Dialect,
    /// Makes the source that reads the platform.
    pub make_source: MakeSource,
    /// The log of decisions about requests; set by [`crate::program`].
    pub log: LogSink,
}

impl Default for Adapter {
    fn default() -> Adapter {
        Adapter {
            dialect: Dialect::NATIVE,
            make_source: |settings, bytes| {
                Arc::new(PlatformClient::new(settings.platform.addr, bytes))
            },
            log: LogSink::silent(),
        }
    }
}

impl fmt::Debug for Adapter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Adapter")
            .field("dialect", &self.dialect)
            .finish_non_exhaustive()
    }
}
