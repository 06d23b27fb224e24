//! Services as the catalogue describes them.

use serde::Deserialize;
use serde::Serialize;

use crate::Class;
use crate::ColdStart;
use crate::Limits;
use crate::OwnerName;
use crate::Route;
use crate::ServiceName;

/// One entry of the catalogue.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceEntry {
    /// The service's name.
    pub name: ServiceName,
    /// The team that answers for it.
    pub owner: OwnerName,
    /// The class of its requests where a route names none.
    pub class: Class,
    /// What it may take.
    pub limits: Limits,
    /// How its targets warm up, if they bear less at first.
    pub cold_start: Option<ColdStart>,
    /// The routes that this entry brings.
    pub routes: Vec<Route>,
}
