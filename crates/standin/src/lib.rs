/*!
Small stand-ins for what surrounds the system, for tests, demos and benchmarks.

[`Platform`] is the configuration source: a catalogue and an instance list
that can be read and watched under a read budget, with switches for outages,
staleness and lag. [`Target`] is a back end with few slots that can start
cold, shed, drain, crash, answer late and lie about its health, and that
keeps a ledger of every request it ran.

Both run inside a test or as processes of the binary `sassafrasspool-standin`.
They are no part of what is deployed.
*/

mod captured_output;
pub mod platform;
mod serve;
mod settings;
pub mod target;

pub use crate::captured_output::Written;
pub use crate::platform::Platform;
pub use crate::platform::PlatformSettings;
pub use crate::settings::read_settings;
pub use crate::target::Target;
pub use crate::target::TargetSettings;
