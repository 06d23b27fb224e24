//! Admission with requests that are numbered.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use crate::Admission;
use crate::AdmissionSettings;
use crate::Ask;
use crate::Class;
use crate::Deadline;
use crate::Limits;
use crate::Offer;
use crate::Permit;
use crate::Queued;
use crate::Reason;
use crate::Refusal;
use crate::Tick;
use crate::testing::LIMITS;

pub(super) const NOW: Tick = Tick::from_millis(1_000);
pub(super) const SETTINGS: AdmissionSettings = AdmissionSettings {
    queue_per_slot: 4,
    max_wait: Duration::from_millis(500),
    standard_weight: 2,
    burst: Duration::from_millis(100),
};

pub(super) type Verdicts = Arc<Mutex<Vec<(usize, Result<Permit, Refusal>)>>>;

/// Admission with requests that are numbered in the order of their offers.
pub(super) struct Bench {
    pub(super) admission: Admission,
    pub(super) verdicts: Verdicts,
    pub(super) waits: Vec<Option<Queued>>,
    pub(super) classes: Vec<Class>,
}

impl Bench {
    pub(super) fn new(slots: u32) -> Bench {
        Bench::with(SETTINGS, slots)
    }

    pub(super) fn with(settings: AdmissionSettings, slots: u32) -> Bench {
        Bench {
            admission: Admission::new(settings, slots).unwrap(),
            verdicts: Verdicts::default(),
            waits: Vec::new(),
            classes: Vec::new(),
        }
    }

    /// Offers a request; the verdict is there at once or when it is woken.
    pub(super) fn offer(&mut self, now: Tick, class: Class, limits: &Limits) -> usize {
        self.offer_with(now, class, limits, None)
    }

    /// The same for a request whose answer is worth most until `aim`.
    pub(super) fn offer_with(
        &mut self,
        now: Tick,
        class: Class,
        limits: &Limits,
        aim: Option<Tick>,
    ) -> usize {
        let id = self.waits.len();
        let ask = Ask {
            kind: None,
            aim,
            settles: false,
            slots: None,
            cold: None,
            class,
            deadline: Deadline::within(now, limits.deadline),
            limits,
        };
        let verdicts = self.verdicts.clone();
        let waker = move || -> crate::Waker {
            Box::new(move |verdict| verdicts.lock().unwrap().push((id, verdict)))
        };
        let offer = self.admission.offer(now, &ask, waker);
        let mut wait = None;
        match offer {
            Offer::Admitted(permit) => self.verdicts.lock().unwrap().push((id, Ok(permit))),
            Offer::Refused(refusal) => self.verdicts.lock().unwrap().push((id, Err(refusal))),
            Offer::Queued(queued) => wait = Some(queued),
        }
        self.waits.push(wait);
        self.classes.push(class);
        id
    }

    /// Runs a request for so long; returns when it ended.
    pub(super) fn run_for(&mut self, now: Tick, class: Class, took: Duration) -> Tick {
        self.offer(now, class, &LIMITS);
        let end = now + took;
        self.take_permit().release(end);
        end
    }

    /// The verdicts since the last call.
    pub(super) fn verdicts(&self) -> Vec<(usize, Result<Permit, Refusal>)> {
        std::mem::take(&mut self.verdicts.lock().unwrap())
    }

    pub(super) fn take_permit(&self) -> Permit {
        self.verdicts().pop().unwrap().1.unwrap()
    }

    pub(super) fn refused(&self) -> Vec<(usize, Reason)> {
        let all = self.verdicts().into_iter();
        all.map(|(id, verdict)| (id, verdict.unwrap_err().reason()))
            .collect()
    }
}
