//! Publishes catalogues and instance lists on the platform.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use sassafrasspool_core::Catalogue;
use sassafrasspool_core::Error;
use sassafrasspool_core::Instance;
use sassafrasspool_core::InstanceId;
use sassafrasspool_core::InstanceList;
use sassafrasspool_core::InstanceState;
use sassafrasspool_core::Result;
use sassafrasspool_core::Revision;
use sassafrasspool_core::Step;
use sassafrasspool_core::Stream;
use sassafrasspool_core::history::Event;
use sassafrasspool_ctl::AdminClient;
use sassafrasspool_standin::platform::PlatformStats;
use serde::Deserialize;
use serde::Serialize;

use super::changes;
use super::routes::bind_routes;
use crate::chaos::log::Log;
use crate::chaos::log::unix_now_us;

/// Publishes through the platform's admin address and logs what was published.
#[derive(Debug)]
pub(super) struct Publisher {
    client: AdminClient,
    admin: SocketAddr,
    log: Arc<Log>,
    instances: Vec<Instance>,
}

/// A published version.
#[derive(Debug, Clone, Copy)]
pub(super) struct Published {
    /// The revision that the platform assigned.
    pub(super) revision: Revision,
    /// The time just before it was sent, in microseconds since the Unix epoch.
    pub(super) sent_us: u64,
}

#[derive(Debug, Deserialize)]
struct Accepted {
    revision: Revision,
}

#[derive(Debug, Serialize)]
struct ListBody<'a> {
    instances: &'a [Instance],
}

impl Publisher {
    pub(super) fn new(client: AdminClient, admin: SocketAddr, log: Arc<Log>) -> Publisher {
        Publisher {
            client,
            admin,
            log,
            instances: Vec::new(),
        }
    }

    /// Publishes a catalogue, valid or not.
    ///
    /// # Errors
    ///
    /// Fails if the platform doesn't take it.
    pub(super) async fn publish_catalogue(&self, text: String) -> Result<Published> {
        let items = changes::parse_items(&text)?;
        let binds = bind_routes(items.clone()).is_ok();
        let published = self.put("/catalogue", Bytes::from(text)).await?;
        let version = Catalogue::new(published.revision, items)?.version();
        let stream = Stream::Catalogue;
        let event = match binds {
            true => Event::PublishedGood { stream, version },
            false => Event::PublishedBad { stream, version },
        };
        self.log.record_at(published.sent_us, event);
        Ok(published)
    }

    /// Publishes a whole instance list.
    ///
    /// # Errors
    ///
    /// Fails if the platform doesn't take it.
    pub(super) async fn publish_instances(&mut self, list: Vec<Instance>) -> Result<Published> {
        self.instances = list;
        self.publish_list().await
    }

    /// Publishes the list with one instance in state leaving.
    ///
    /// # Errors
    ///
    /// Fails if the platform doesn't take it.
    pub(super) async fn publish_leaving(&mut self, id: &InstanceId) -> Result<Published> {
        let matching = self.instances.iter_mut().filter(|entry| entry.id == *id);
        matching.for_each(|entry| entry.state = InstanceState::Leaving);
        self.publish_list().await
    }

    /// Publishes the list without an instance.
    ///
    /// # Errors
    ///
    /// Fails if the platform doesn't take it.
    pub(super) async fn publish_removed(&mut self, id: &InstanceId) -> Result<Published> {
        self.instances.retain(|entry| entry.id != *id);
        self.publish_list().await
    }

    /// The platform's counts of reads so far.
    ///
    /// # Errors
    ///
    /// Fails if the platform doesn't answer.
    pub(super) async fn stats(&self) -> Result<PlatformStats> {
        self.client.get(self.admin, "/stats").await
    }

    async fn publish_list(&self) -> Result<Published> {
        let instances = &self.instances;
        let body = serde_json::to_vec(&ListBody { instances });
        let body = body.map_err(|cause| {
            Error::new(Step::Codec, "the list can't be encoded").with_cause(cause)
        })?;
        let published = self.put("/instances", Bytes::from(body)).await?;
        let version = InstanceList::new(published.revision, instances.clone())?.version();
        let stream = Stream::Instances;
        let event = Event::PublishedGood { stream, version };
        self.log.record_at(published.sent_us, event);
        Ok(published)
    }

    async fn put(&self, path: &str, body: Bytes) -> Result<Published> {
        let sent_us = unix_now_us();
        let accepted: Accepted = self.client.put(self.admin, path, body).await?;
        Ok(Published {
            revision: accepted.revision,
            sent_us,
        })
    }
}
