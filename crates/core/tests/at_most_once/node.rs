//! Nodes of a run: owners beside targets, and first hops.

use std::time::Duration;

use sassafrasspool_core::InstanceId;
use sassafrasspool_core::InstanceList;
use sassafrasspool_core::RepeatSettings;
use sassafrasspool_core::RepeatWindow;
use sassafrasspool_core::Revision;
use sassafrasspool_core::ServiceName;
use sassafrasspool_core::Tick;

use super::fault::Fault;

/// How old a proof may be.
pub(crate) const LEASE: Duration = Duration::from_secs(10);
/// How long callers use a key.
pub(crate) const HOLD: Duration = Duration::from_secs(60);

/// What a node knows of the newest list.
#[derive(Debug, Clone)]
pub(crate) struct Known {
    pub(crate) list: InstanceList,
    pub(crate) proved: (Revision, Tick),
}

/// A node that takes calls and owns keys.
#[derive(Debug)]
pub(crate) struct Node {
    pub(crate) id: InstanceId,
    pub(crate) cut: bool,
    pub(crate) paused: bool,
    pub(crate) known: Known,
    pub(crate) window: RepeatWindow,
}

impl Node {
    pub(crate) fn new(id: InstanceId, known: Known, fault: Fault) -> Node {
        let window = window(&id, fault);
        Node {
            id,
            cut: false,
            paused: false,
            known,
            window,
        }
    }

    /// The process is replaced; nothing is kept.
    pub(crate) fn restart(&mut self, now: Tick, fault: Fault) {
        self.paused = false;
        self.window = window(&self.id, fault);
        self.learn(now, &self.known.clone(), fault);
    }

    /// Takes over what the source or another node says.
    pub(crate) fn learn(&mut self, now: Tick, heard: &Known, fault: Fault) {
        let revision = heard.list.version().revision();
        if revision > self.known.list.version().revision() {
            self.known = heard.clone();
        }
        if heard.proved > self.known.proved {
            self.known.proved = heard.proved;
        }
        let since = match fault {
            Fault::TenureIgnored => Tick::ZERO,
            _ => now,
        };
        self.window.apply_list(since, &self.known.list);
        let (revision, at) = self.known.proved;
        self.window.prove(at, revision);
    }
}

fn window(id: &InstanceId, fault: Fault) -> RepeatWindow {
    let hold = match fault {
        Fault::HoldTooShort => HOLD / 10,
        _ => HOLD,
    };
    let cfg = RepeatSettings {
        hold,
        lease: LEASE,
        ..RepeatSettings::default()
    };
    let service = ServiceName::new("adjuster-desk").unwrap();
    RepeatWindow::new(cfg, id.clone(), service).unwrap()
}
