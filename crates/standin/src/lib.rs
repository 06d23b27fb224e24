/*!
Stand-ins for the platform and for targets, for tests, demos and benchmarks.

[`Platform`] is the configuration source. Its catalogue and instance list can
be read and watched within a read budget. Switches simulate outages, stale
reads and lag. [`Target`] is a back end with few slots. It can start cold,
shed requests, drain, crash, delay answers and report false health. It keeps a
ledger of every request that it ran.

Both run inside a test or as processes of the binary `sassafrasspool-standin`.
Neither is deployed.
*/

mod captured_output;
pub mod platform;
mod serve;
mod settings;
pub mod target;

pub use crate::captured_output::CapturedOutput;
pub use crate::platform::Platform;
pub use crate::platform::PlatformSettings;
pub use crate::settings::read_settings;
pub use crate::target::Target;
pub use crate::target::TargetSettings;
