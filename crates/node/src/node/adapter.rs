//! What a node needs to run on a platform.

use std::fmt;
use std::sync::Arc;

use sassafrasspool_wire::SocketBytes;
use sassafrasspool_wire::platform::PlatformClient;
use sassafrasspool_wire::platform::Source;

use crate::Dialect;
use crate::Settings;
use crate::log::LogSink;

/// Makes what reads a platform, with the counter of its sockets' bytes.
type MakeSource = fn(&Settings, Arc<SocketBytes>) -> Arc<dyn Source>;

/// How a node speaks to the platform, to callers and to its target.
///
/// The default is this project's own protocol. A deployment on another platform
/// brings its adapter and is otherwise the same program.
#[derive(Clone)]
pub struct Adapter {
    /// What callers and targets call things.
    pub dialect: Dialect,
    /// Makes what reads the platform.
    pub source: MakeSource,
    /// Where it is written what is decided about requests; the program sets it.
    pub log: LogSink,
}

impl Default for Adapter {
    fn default() -> Adapter {
        Adapter {
            dialect: Dialect::OWN,
            source: |settings, bytes| Arc::new(PlatformClient::new(settings.platform.addr, bytes)),
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
