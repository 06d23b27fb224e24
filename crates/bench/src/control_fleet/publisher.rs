//! Publishing, with a record of what was published.

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

/// An operator and the platform's list: they publish, and work out what a
/// node that holds it must hold.
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
    /// Fails if the platform refuses one, for instance for its size.
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
    /// Fails if the platform refuses it.
    pub fn change(&mut self, platform: &Platform) -> miette::Result<Version> {
        self.generated.change();
        self.publish(platform)
    }

    /// Publishes a catalogue that parses but doesn't bind.
    ///
    /// # Errors
    ///
    /// Fails if the platform refuses it.
    pub fn publish_bad(&mut self, platform: &Platform) -> miette::Result<Version> {
        let text = self.generated.bad_text();
        let revision = platform.publish_catalogue(&text).into_diagnostic()?;
        Ok(read(revision, &text)?.version())
    }

    /// The newest good catalogue's version.
    pub fn catalogue(&self) -> Option<Version> {
        self.catalogue.as_ref().map(Catalogue::version)
    }

    /// The list's version.
    pub fn instances(&self) -> Version {
        self.instances.version()
    }

    /// What a node that holds the newest good versions must hold.
    ///
    /// # Errors
    ///
    /// Fails if what was generated doesn't bind.
    pub fn expected(&self) -> miette::Result<SnapshotFacts> {
        let catalogue = self.catalogue.as_ref();
        let catalogue = catalogue.ok_or_else(|| miette!("nothing was published"))?;
        let snapshot = Snapshot::build(catalogue, &self.instances).into_diagnostic()?;
        SnapshotFacts::of(&snapshot).into_diagnostic()
    }

    fn publish(&mut self, platform: &Platform) -> miette::Result<Version> {
        let text = self.generated.text();
        let revision = platform.publish_catalogue(&text).into_diagnostic()?;
        let catalogue = read(revision, &text)?;
        let version = catalogue.version();
        self.catalogue = Some(catalogue);
        Ok(version)
    }
}

fn read(revision: Revision, text: &str) -> miette::Result<Catalogue> {
    let items = catalogue::parse(text).into_diagnostic()?;
    Catalogue::new(revision, items).into_diagnostic()
}
