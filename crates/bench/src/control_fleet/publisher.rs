//! Publication of versions and the snapshots expected from them.

use miette::IntoDiagnostic;
use miette::miette;
use sassafrasspool_core::Catalogue;
use sassafrasspool_core::Instance;
use sassafrasspool_core::InstanceList;
use sassafrasspool_core::Revision;
use sassafrasspool_core::Snapshot;
use sassafrasspool_core::Version;
use sassafrasspool_core::catalogue;
use sassafrasspool_core::history::SnapshotFacts;
use sassafrasspool_standin::Platform;

use crate::generate::GeneratedCatalogue;

/// Publishes catalogues and the instance list, and computes the snapshot that
/// nodes must build from them.
#[derive(Debug)]
pub struct Publisher {
    generated: GeneratedCatalogue,
    instances: InstanceList,
    catalogue: Option<Catalogue>,
}

impl Publisher {
    /// Publishes the list and the first catalogue.
    ///
    /// # Errors
    ///
    /// Fails if the platform rejects one, for instance because of its size.
    pub fn start(
        platform: &Platform,
        generated: GeneratedCatalogue,
        instances: &[Instance],
    ) -> miette::Result<Publisher> {
        let revision = platform.publish_instances(instances).into_diagnostic()?;
        let instances = InstanceList::new(revision, instances.to_vec()).into_diagnostic()?;
        let mut publisher = Publisher {
            generated,
            instances,
            catalogue: None,
        };
        publisher.publish(platform)?;
        Ok(publisher)
    }

    /// Changes one entry and publishes the catalogue.
    ///
    /// # Errors
    ///
    /// Fails if the platform rejects it.
    pub fn publish_change(&mut self, platform: &Platform) -> miette::Result<Version> {
        self.generated.change_entry();
        self.publish(platform)
    }

    /// Publishes a catalogue that parses, but from which no snapshot can be
    /// built.
    ///
    /// # Errors
    ///
    /// Fails if the platform rejects it.
    pub fn publish_bad(&mut self, platform: &Platform) -> miette::Result<Version> {
        let text = self.generated.bad_text();
        let revision = platform.publish_catalogue(&text).into_diagnostic()?;
        Ok(parse_catalogue(revision, &text)?.version())
    }

    /// The version of the newest valid catalogue.
    pub fn catalogue_version(&self) -> Option<Version> {
        self.catalogue.as_ref().map(Catalogue::version)
    }

    /// The version of the instance list.
    pub fn instances_version(&self) -> Version {
        self.instances.version()
    }

    /// Facts of the snapshot of the newest valid versions.
    ///
    /// # Errors
    ///
    /// Fails if no snapshot can be built from the generated versions.
    pub fn expected_facts(&self) -> miette::Result<SnapshotFacts> {
        let catalogue = self.catalogue.as_ref();
        let catalogue = catalogue.ok_or_else(|| miette!("no catalogue was published"))?;
        let snapshot = Snapshot::build(catalogue, &self.instances).into_diagnostic()?;
        SnapshotFacts::of(&snapshot).into_diagnostic()
    }

    fn publish(&mut self, platform: &Platform) -> miette::Result<Version> {
        let text = self.generated.text();
        let revision = platform.publish_catalogue(&text).into_diagnostic()?;
        let catalogue = parse_catalogue(revision, &text)?;
        let version = catalogue.version();
        self.catalogue = Some(catalogue);
        Ok(version)
    }
}

fn parse_catalogue(revision: Revision, text: &str) -> miette::Result<Catalogue> {
    let items = catalogue::parse(text).into_diagnostic()?;
    Catalogue::new(revision, items).into_diagnostic()
}
