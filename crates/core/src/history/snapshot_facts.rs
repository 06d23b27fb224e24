//! The facts about a node's snapshot that the checker needs.

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
pub struct SnapshotFacts {
    /// Version of the catalogue.
    pub catalogue: Version,
    /// Version of the instance list.
    pub instances: Version,
    /// Digest of the snapshot's actual content, independent of its versions.
    pub content: Digest,
    /// References to items that are missing from the snapshot.
    pub dangling: Vec<Dangling>,
}

/// A reference to an item that is missing from the snapshot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Dangling {
    /// A route whose service is missing.
    Route {
        /// The route's path.
        path: RoutePath,
        /// The service that it names.
        service: ServiceName,
    },
    /// A service that lists a missing endpoint.
    Service {
        /// The service.
        service: ServiceName,
    },
    /// An endpoint whose service is missing.
    Endpoint {
        /// The endpoint's instance.
        instance: InstanceId,
    },
}

impl SnapshotFacts {
    /// Extracts the facts from a snapshot by following every reference in it.
    ///
    /// # Errors
    ///
    /// Fails if an item can't be encoded for its digest.
    pub fn of(snapshot: &Snapshot) -> Result<SnapshotFacts> {
        Ok(SnapshotFacts {
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
    // The maps are ordered as they are built, which is by name.
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
        let endpoints = snapshot.endpoints_of(service);
        let wrong =
            endpoints.filter(|(_, endpoint)| endpoint.instance.service != service.entry.name);
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
