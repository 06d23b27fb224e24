//! The catalogue that operators publish: services with their owner, class, limits
//! and routes, and the weights of kinds of requests.

pub use self::caller_limits::CallerLimits;
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
pub use self::route::Route;
pub use self::route::Share;
pub use self::service::ServiceEntry;
pub use self::validate::validate;

pub(crate) use self::host::strip_port;

use self::partial::PartialCatalogue;
use crate::Document;

mod caller_limits;
mod cold_start;
mod evacuation;
mod homes;
mod host;
mod item;
mod kind;
mod limits;
mod parse;
mod partial;
mod path;
mod route;
mod service;
#[cfg(test)]
mod tests;
mod validate;

/// The items of a catalogue, with their version.
pub type Catalogue = Document<CatalogueItem>;

impl Catalogue {
    /// The operators' own number of this catalogue, if they number theirs.
    pub fn edition(&self) -> Option<u64> {
        match self.get(&ItemKey::Edition) {
            Some(CatalogueItem::Edition(number)) => Some(*number),
            _ => None,
        }
    }
}

/// The largest text of a catalogue in bytes, which is the most that the platform stores.
pub const MAX_CATALOGUE_BYTES: usize = 1024 * 1024;
