//! A simulated platform without I/O.

use std::net::SocketAddr;

use miette::IntoDiagnostic;
use sassafrasspool_core::Instance;
use sassafrasspool_core::Revision;
use sassafrasspool_core::SourceResult;
use sassafrasspool_core::Stream;

use crate::generate::GeneratedCatalogue;
use crate::generate::GeneratedFleet;
use crate::generate::Shape;

/// The published catalogue and instance list.
#[derive(Debug)]
pub(super) struct Source {
    pub(super) catalogue: GeneratedCatalogue,
    pub(super) instances: Vec<Instance>,
    catalogue_revision: u64,
    instances_revision: u64,
}

impl Source {
    pub(super) fn new(shape: Shape) -> miette::Result<Source> {
        let fleet = GeneratedFleet::new(shape).into_diagnostic()?;
        let mut instances = fleet.into_instances();
        for (i, instance) in (0u32..).zip(&mut instances) {
            let [_, a, b, c] = i.to_be_bytes();
            instance.control = SocketAddr::from(([10, a, b, c], 9_000));
        }
        Ok(Source {
            catalogue: GeneratedCatalogue::new(shape).into_diagnostic()?,
            instances,
            catalogue_revision: 1,
            instances_revision: 1,
        })
    }

    /// Changes one entry of the catalogue.
    pub(super) fn change_catalogue(&mut self) {
        self.catalogue.change_entry();
        self.catalogue_revision += 1;
    }

    /// Changes one instance of the list.
    pub(super) fn change_instance(&mut self, i: usize) {
        let i = i % self.instances.len();
        self.instances[i].slots += 1;
        self.instances_revision += 1;
    }

    pub(super) fn read(&self, stream: Stream) -> miette::Result<SourceResult> {
        Ok(match stream {
            Stream::Catalogue => SourceResult::Catalogue {
                revision: Revision::new(self.catalogue_revision).into_diagnostic()?,
                text: self.catalogue.text(),
            },
            Stream::Instances => SourceResult::Instances {
                revision: Revision::new(self.instances_revision).into_diagnostic()?,
                instances: self.instances.clone(),
            },
        })
    }
}
