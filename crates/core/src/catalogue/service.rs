//! Service entries of the catalogue.

use serde::Deserialize;
use serde::Serialize;

use crate::Class;
use crate::ColdStart;
use crate::Limits;
use crate::OwnerName;
use crate::Route;
use crate::ServiceName;

/// The catalogue entry of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceEntry {
    /// The service's name.
    pub name: ServiceName,
    /// The team that is responsible for it.
    pub owner: OwnerName,
    /// The class of its requests on routes that set none.
    pub class: Class,
    /// The limits at each of its targets.
    pub limits: Limits,
    /// How its targets warm up, if they tolerate fewer requests at first.
    pub cold_start: Option<ColdStart>,
    /// The routes that this entry adds.
    pub routes: Vec<Route>,
}
