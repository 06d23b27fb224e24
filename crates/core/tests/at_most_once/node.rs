//! The nodes of a run, each both an owner of keys and a first hop.

use std::time::Duration;

use sassafrasspool_core::DedupSettings;
use sassafrasspool_core::DedupWindow;
use sassafrasspool_core::InstanceId;
use sassafrasspool_core::InstanceList;
use sassafrasspool_core::Revision;
use sassafrasspool_core::ServiceName;
use sassafrasspool_core::Tick;

use super::fault::Fault;

/// The longest age of a valid proof.
pub(crate) const LEASE: Duration = Duration::from_secs(10);
/// How long callers use a key.
pub(crate) const HOLD: Duration = Duration::from_secs(60);

/// The newest list that a node has, and the newest proof.
#[derive(Debug, Clone)]
pub(crate) struct KnownList {
    pub(crate) list: InstanceList,
    pub(crate) proved: (Revision, Tick),
}

/// A node that receives calls and owns keys.
#[derive(Debug)]
pub(crate) struct Node {
    pub(crate) id: InstanceId,
    pub(crate) partitioned: bool,
    pub(crate) paused: bool,
    pub(crate) known: KnownList,
    pub(crate) window: DedupWindow,
}

impl Node {
    pub(crate) fn new(id: InstanceId, known: KnownList, fault: Fault) -> Node {
        let window = window(&id, fault);
        Node {
            id,
            partitioned: false,
            paused: false,
            known,
            window,
        }
    }

    /// Restarts the process, which loses the window.
    pub(crate) fn restart(&mut self, now: Tick, fault: Fault) {
        self.paused = false;
        self.window = window(&self.id, fault);
        self.merge(now, &self.known.clone(), fault);
    }

    /// Merges a list and a proof from the source or another node.
    pub(crate) fn merge(&mut self, now: Tick, received: &KnownList, fault: Fault) {
        let revision = received.list.version().revision();
        if revision > self.known.list.version().revision() {
            self.known = received.clone();
        }
        if received.proved > self.known.proved {
            self.known.proved = received.proved;
        }
        let since = match fault {
            Fault::OwnershipIgnored => Tick::ZERO,
            _ => now,
        };
        self.window.apply_list(since, &self.known.list);
        let (revision, at) = self.known.proved;
        self.window.record_proof(at, revision);
    }
}

fn window(id: &InstanceId, fault: Fault) -> DedupWindow {
    let hold = match fault {
        Fault::HoldTooShort => HOLD / 10,
        _ => HOLD,
    };
    let cfg = DedupSettings {
        hold,
        lease: LEASE,
        ..DedupSettings::default()
    };
    let service = ServiceName::new("adjuster-desk").unwrap();
    DedupWindow::new(cfg, id.clone(), service).unwrap()
}
