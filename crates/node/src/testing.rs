//! Support for the unit tests of several modules.

use std::fmt::Debug;
use std::sync::Arc;
use std::time::Duration;

use sassafrasspool_core::Catalogue;
use sassafrasspool_core::DedupSettings;
use sassafrasspool_core::DedupWindow;
use sassafrasspool_core::Instance;
use sassafrasspool_core::InstanceList;
use sassafrasspool_core::InstanceState;
use sassafrasspool_core::Locality;
use sassafrasspool_core::Revision;
use sassafrasspool_core::Snapshot;
use sassafrasspool_core::catalogue;

/// A valid name of any type.
pub(crate) fn name<T: TryFrom<Arc<str>, Error: Debug>>(text: &str) -> T {
    T::try_from(Arc::from(text)).expect("a name")
}

/// The locality of a desk's node, and an empty deduplication window for it.
pub(crate) fn locality_and_window(id: &str) -> (Locality, DedupWindow) {
    let locality = Locality {
        instance: name(id),
        domain: name("bayanzurkh"),
        region: name("ulaanbaatar"),
    };
    let settings = DedupSettings::default();
    let dedup = DedupWindow::new(settings, name(id), name("workshop-desk"));
    (locality, dedup.expect("a window"))
}

/// A live desk in the failure domain of [`locality_and_window`].
pub(crate) fn instance(id: &str) -> Instance {
    let addr = "127.0.0.1:9".parse().expect("an address");
    Instance {
        id: name(id),
        service: name("workshop-desk"),
        region: name("ulaanbaatar"),
        domain: name("bayanzurkh"),
        traffic: addr,
        control: addr,
        slots: 10,
        connections: 20,
        state: InstanceState::Live,
        target: None,
        cold_for: Duration::ZERO,
    }
}

/// The snapshot of a catalogue's text and an instance list, both of `revision`.
pub(crate) fn snapshot(text: &str, revision: u64, listed: Vec<Instance>) -> Arc<Snapshot> {
    let revision = Revision::new(revision).expect("a revision");
    let items = catalogue::parse(text).expect("a catalogue");
    let catalogue = Catalogue::new(revision, items).expect("a catalogue");
    let list = InstanceList::new(revision, listed).expect("a list");
    let snapshot = Snapshot::build(&catalogue, &list);
    Arc::new(snapshot.expect("a snapshot"))
}
