//! What a node's snapshot holds, in the few bytes that judging it needs.

use crate::CatalogueItem;
use crate::Digest;
use crate::Error;
use crate::InstanceId;
use crate::Item;
use crate::Result;
use crate::RoutePath;
use crate::ServiceName;
use crate::Snapshot;
use crate::Step;
use crate::Stream;
use crate::Version;

/// The facts of one snapshot.
#[derive(Debug, Clone, PartialEq)]
pub struct Held {
    /// Version of the catalogue.
    pub catalogue: Version,
    /// Version of the instance list.
    pub instances: Version,
    /// Digest of all that the snapshot really holds, whatever its versions say.
    pub content: Digest,
    /// What points at something that the snapshot doesn't hold.
    pub dangling: Vec<Dangling>,
}

/// A reference that leads nowhere.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Dangling {
    /// A route whose service isn't held.
    Route {
        /// The route's path.
        path: RoutePath,
        /// The service that it names.
        service: ServiceName,
    },
    /// A service that lists an endpoint which isn't held.
    Service {
        /// The service.
        service: ServiceName,
    },
    /// An endpoint of a service that isn't held.
    Endpoint {
        /// The endpoint's instance.
        instance: InstanceId,
    },
}

impl Held {
    /// Takes the facts from a snapshot by following every reference in it.
    ///
    /// # Errors
    ///
    /// Fails if an item can't be encoded for its digest.
    pub fn of(snapshot: &Snapshot) -> Result<Held> {
        Ok(Held {
            catalogue: snapshot.catalogue(),
            instances: snapshot.instances(),
            content: content(snapshot)?,
            dangling: dangling(snapshot),
        })
    }

    /// The version of one stream.
    pub fn version(&self, stream: Stream) -> Version {
        match stream {
            Stream::Catalogue => self.catalogue,
            Stream::Instances => self.instances,
        }
    }
}

fn content(snapshot: &Snapshot) -> Result<Digest> {
    let mut parts = Vec::new();
    // The order of the maps is that of building, which is by name.
    for (_, service) in snapshot.services() {
        parts.push(CatalogueItem::Service((*service.entry).clone()).digest()?);
        for (_, endpoint) in snapshot.endpoints_of(service) {
            parts.push(endpoint.instance.digest()?);
        }
    }
    for route in snapshot.routes() {
        let bytes = postcard::to_stdvec(&(&route.route, route.weight)).map_err(|cause| {
            Error::new(Step::Codec, "a route can't be encoded").with_cause(cause)
        })?;
        parts.push(Digest::of(&bytes));
    }
    Ok(Digest::of_all(&parts))
}

fn dangling(snapshot: &Snapshot) -> Vec<Dangling> {
    let mut found = Vec::new();
    for bound in snapshot.routes() {
        let service = snapshot.service(bound.service);
        if service.is_none_or(|service| service.entry.name != bound.route.service) {
            found.push(Dangling::Route {
                path: bound.route.path.clone(),
                service: bound.route.service.clone(),
            });
        }
    }
    for (_, service) in snapshot.services() {
        let held = snapshot.endpoints_of(service);
        let wrong = held.filter(|(_, endpoint)| endpoint.instance.service != service.entry.name);
        found.extend(wrong.map(|(_, endpoint)| Dangling::Endpoint {
            instance: endpoint.instance.id.clone(),
        }));
        if snapshot.endpoints_of(service).count() != service.endpoints.len() {
            found.push(Dangling::Service {
                service: service.entry.name.clone(),
            });
        }
    }
    found
}
