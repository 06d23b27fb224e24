//! The operators' catalogue: services with their owner, class, limits and
//! routes, and the weights of kinds of requests.

pub use self::callers::CallerLimits;
pub use self::cold_start::ColdStart;
pub use self::evacuation::Evacuation;
pub use self::homes::Homes;
pub use self::host::HostName;
pub use self::item::CatalogueItem;
pub use self::item::ItemKey;
pub use self::kind::Kind;
pub use self::limits::Limits;
pub use self::limits::RetryLimits;
pub use self::parse::parse;
pub use self::path::RoutePath;
pub use self::review::review;
pub use self::route::Route;
pub use self::route::Share;
pub use self::service::ServiceEntry;

pub(crate) use self::host::without_port;

use self::reading::Reading;
use crate::Document;

mod callers;
mod cold_start;
mod evacuation;
mod homes;
mod host;
mod item;
mod kind;
mod limits;
mod parse;
mod path;
mod reading;
mod review;
mod route;
mod service;
#[cfg(test)]
mod tests;

/// A catalogue under its version.
pub type Catalogue = Document<CatalogueItem>;

/// The largest text of a catalogue in bytes: what the platform holds at most.
pub const MAX_CATALOGUE_BYTES: usize = 1024 * 1024;
