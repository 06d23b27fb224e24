//! Items of a catalogue and their keys.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::CallerLimits;
use crate::DomainName;
use crate::Evacuation;
use crate::Item;
use crate::Kind;
use crate::KindName;
use crate::ServiceEntry;
use crate::ServiceName;

/// The unit of change of a catalogue.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum CatalogueItem {
    /// Limits on requests and connections of callers, for all routes.
    Callers(CallerLimits),
    /// A kind of request.
    Kind(Kind),
    /// A service with its routes.
    Service(ServiceEntry),
    /// A failure domain whose targets receive no new requests.
    Evacuation(Evacuation),
    /// The operators' own number of the catalogue without its evacuations, if they
    /// number it. They only increase it.
    Edition(u64),
}

/// The identity of an item of a catalogue.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ItemKey {
    /// The caller limits, of which a catalogue has at most one.
    Callers,
    /// The name of a kind.
    Kind(KindName),
    /// The name of a service.
    Service(ServiceName),
    /// The name of an evacuated failure domain.
    Evacuation(DomainName),
    /// The edition, of which a catalogue has at most one.
    Edition,
}

impl fmt::Display for ItemKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ItemKey::Callers => f.write_str("callers"),
            ItemKey::Kind(name) => write!(f, "kind {name}"),
            ItemKey::Service(name) => write!(f, "service {name}"),
            ItemKey::Evacuation(domain) => write!(f, "evacuation of {domain}"),
            ItemKey::Edition => f.write_str("edition"),
        }
    }
}

impl Item for CatalogueItem {
    type Key = ItemKey;

    fn key(&self) -> ItemKey {
        match self {
            CatalogueItem::Callers(_) => ItemKey::Callers,
            CatalogueItem::Kind(kind) => ItemKey::Kind(kind.name.clone()),
            CatalogueItem::Service(entry) => ItemKey::Service(entry.name.clone()),
            CatalogueItem::Evacuation(it) => ItemKey::Evacuation(it.domain.clone()),
            CatalogueItem::Edition(_) => ItemKey::Edition,
        }
    }
}
