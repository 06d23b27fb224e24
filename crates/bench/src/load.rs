//! Load from callers: calls that are planned from a seed, sent when they are
//! due whether earlier ones were answered or not, and recorded one by one.
//!
//! What became of the calls is judged from the callers' records and the
//! targets' ledgers together: neither side alone can tell a request that was
//! lost from one that was only slow, or a false refusal from a true one.

pub use self::client::Client;
pub use self::ending::Ending;
pub use self::entries::Entries;
pub use self::fleet::DOMAINS;
pub use self::fleet::Fleet;
pub use self::fleet::Layout;
pub use self::fleet::Listen;
pub use self::fleet::Member;
pub use self::fleet::Place;
pub use self::fleet::node_settings;
pub use self::judge::Evidence;
pub use self::judge::KindCount;
pub use self::judge::LedgerRun;
pub use self::judge::Outage;
pub use self::judge::OutageKind;
pub use self::judge::Verdict;
pub use self::judge::judge;
pub use self::kind::CallKind;
pub use self::kind::Keys;
pub use self::link::Link;
pub use self::naive::Naive;
pub use self::node_process::NodeProcess;
pub use self::open_loop::OpenLoop;
pub use self::pacer::Due;
pub use self::pacer::Pacer;
pub use self::plan::Call;
pub use self::plan::Plan;
pub use self::ports::Ports;
pub use self::record::CallRecord;
pub use self::repeat::Caller;
pub use self::repeat::Repeats;
pub use self::request::Attempt;
pub use self::way::Way;

pub mod admin;
mod client;
mod ending;
mod entries;
mod fleet;
mod judge;
mod kind;
mod link;
mod naive;
mod node_process;
mod open_loop;
mod pacer;
mod plan;
mod ports;
pub mod process;
mod record;
mod repeat;
mod request;
#[cfg(test)]
mod tests;
mod way;
