//! A simulated target with its node.

use sassafrasspool_core::Admission;
use sassafrasspool_core::AdmissionSettings;
use sassafrasspool_core::Drain;
use sassafrasspool_core::Draining;
use sassafrasspool_core::Instance;
use sassafrasspool_core::LoadReport;
use sassafrasspool_core::Serving;
use sassafrasspool_core::Tick;

/// The lifecycle stage of a target.
#[derive(Debug)]
pub(crate) enum Stage {
    Up(Drain<Serving>),
    Draining(Drain<Draining>),
    Down,
}

/// A target, which can crash and restart.
#[derive(Debug)]
pub(crate) struct Endpoint {
    pub(crate) instance: Instance,
    pub(crate) admission: Admission,
    pub(crate) stage: Stage,
    pub(crate) incarnation: u64,
    pub(crate) slowness: u64,
    pub(crate) reports_idle: bool,
    pub(crate) running: u32,
    pub(crate) stops_at_latest: Tick,
}

impl Endpoint {
    pub(crate) fn new(instance: Instance) -> Endpoint {
        let settings = AdmissionSettings::default();
        Endpoint {
            admission: Admission::new(settings, instance.slots).unwrap(),
            instance,
            stage: Stage::Up(Drain::serving()),
            incarnation: 1,
            slowness: 1,
            reports_idle: false,
            running: 0,
            stops_at_latest: Tick::ZERO,
        }
    }

    /// Replaces the process with a new one.
    pub(crate) fn restart(&mut self) {
        let next = self.incarnation + 1;
        *self = Endpoint::new(self.instance.clone());
        self.incarnation = next;
    }

    pub(crate) fn load(&self) -> LoadReport {
        match self.reports_idle {
            true => LoadReport {
                in_flight: 0,
                slots: 10,
                queued: 0,
            },
            false => self.admission.load(),
        }
    }
}
