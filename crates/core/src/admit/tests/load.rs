//! A load played on one target's admission in virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::Admission;
use crate::AdmissionSettings;
use crate::Ask;
use crate::Class;
use crate::Deadline;
use crate::KindName;
use crate::Offer;
use crate::Permit;
use crate::Queued;
use crate::Refusal;
use crate::Tick;
use crate::testing::LIMITS;

/// A kind of request of a load.
#[derive(Debug, Clone, Copy)]
pub(super) struct Kind {
    pub(super) name: &'static str,
    pub(super) class: Class,
    pub(super) per_s: f64,
    /// What one takes in its slot on average, in milliseconds.
    pub(super) took_ms: f64,
    /// Within what its answer is worth most, in milliseconds.
    pub(super) aim_ms: u64,
    /// How long its caller waits, in milliseconds.
    pub(super) wait_ms: u64,
}

/// What callers of a kind got.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Got {
    pub(super) asked: u32,
    pub(super) in_time: u32,
    pub(super) late: u32,
    pub(super) refused: u32,
    /// Those of the refused that had waited for nothing.
    pub(super) waited_in_vain: u32,
}

impl Got {
    /// The share of callers that were answered.
    pub(super) fn served(self) -> f64 {
        f64::from(self.in_time + self.late) / f64::from(self.asked)
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrives(usize),
    Ends(usize),
    GivesUp(usize),
}

type Verdicts = Arc<Mutex<Vec<(usize, Result<Permit, Refusal>)>>>;

/// One request of the load.
#[derive(Debug)]
struct Asked {
    kind: usize,
    at: Tick,
    queued: Option<Queued>,
    permit: Option<Permit>,
}

/// A target's admission with its load.
struct Play<'a> {
    kinds: &'a [Kind],
    admission: Admission,
    verdicts: Verdicts,
    events: BinaryHeap<Reverse<(Tick, Event)>>,
    asked: Vec<Asked>,
    got: Vec<Got>,
    rng: SmallRng,
}

/// Plays a load for some seconds; what each kind's callers got.
pub(super) fn play(slots: u32, kinds: &[Kind], secs: u64, seed: u64) -> HashMap<&'static str, Got> {
    let mut play = Play {
        kinds,
        admission: Admission::new(AdmissionSettings::default(), slots).unwrap(),
        verdicts: Verdicts::default(),
        events: BinaryHeap::new(),
        asked: Vec::new(),
        got: vec![Got::default(); kinds.len()],
        rng: SmallRng::seed_from_u64(seed),
    };
    let end = Tick::from_millis(secs * 1_000);
    for kind in 0..kinds.len() {
        play.next_arrival(Tick::ZERO, kind);
    }
    while let Some(Reverse((now, event))) = play.events.pop() {
        match event {
            Event::Arrives(kind) if now < end => play.arrives(now, kind),
            Event::Arrives(_) => {}
            Event::Ends(id) => play.ends(now, id),
            Event::GivesUp(id) => play.gives_up(now, id),
        }
        play.take_verdicts(now);
    }
    let names = kinds.iter().map(|kind| kind.name);
    names.zip(play.got).collect()
}

impl Play<'_> {
    fn next_arrival(&mut self, now: Tick, kind: usize) {
        let draw: f64 = self.rng.random_range(f64::EPSILON..1.0);
        let pause = Duration::from_secs_f64(-draw.ln() / self.kinds[kind].per_s);
        self.events
            .push(Reverse((now + pause, Event::Arrives(kind))));
    }

    fn arrives(&mut self, now: Tick, kind: usize) {
        self.next_arrival(now, kind);
        let id = self.asked.len();
        let of = self.kinds[kind];
        let name = KindName::new(of.name).unwrap();
        let ask = Ask {
            class: of.class,
            deadline: Deadline::within(now, Duration::from_millis(of.wait_ms)),
            limits: &LIMITS,
            kind: Some(&name),
            aim: Some(now + Duration::from_millis(of.aim_ms)),
            settles: true,
            slots: None,
            cold: None,
        };
        let verdicts = self.verdicts.clone();
        let waker = move || -> crate::Waker {
            Box::new(move |verdict| verdicts.lock().unwrap().push((id, verdict)))
        };
        let mut queued = None;
        match self.admission.offer(now, &ask, waker) {
            Offer::Admitted(permit) => self.verdicts.lock().unwrap().push((id, Ok(permit))),
            Offer::Refused(refusal) => self.verdicts.lock().unwrap().push((id, Err(refusal))),
            Offer::Queued(waits) => {
                self.events
                    .push(Reverse((waits.until(), Event::GivesUp(id))));
                queued = Some(waits);
            }
        }
        self.got[kind].asked += 1;
        self.asked.push(Asked {
            kind,
            at: now,
            queued,
            permit: None,
        });
    }

    fn ends(&mut self, now: Tick, id: usize) {
        let asked = &mut self.asked[id];
        asked.permit.take().expect("it ran").release(now);
        let aim = Duration::from_millis(self.kinds[asked.kind].aim_ms);
        let got = &mut self.got[asked.kind];
        match now.since(asked.at) <= aim {
            true => got.in_time += 1,
            false => got.late += 1,
        }
    }

    fn gives_up(&mut self, now: Tick, id: usize) {
        let queued = self.asked[id].queued.take();
        if queued.and_then(|queued| queued.expire(now)).is_some() {
            let got = &mut self.got[self.asked[id].kind];
            got.refused += 1;
            got.waited_in_vain += 1;
        }
    }

    fn take_verdicts(&mut self, now: Tick) {
        let told = std::mem::take(&mut *self.verdicts.lock().unwrap());
        for (id, verdict) in told {
            let kind = self.asked[id].kind;
            self.asked[id].queued = None;
            match verdict {
                Ok(permit) => {
                    let spread = self.rng.random_range(0.7..1.3);
                    let took = Duration::from_secs_f64(self.kinds[kind].took_ms * spread / 1e3);
                    self.asked[id].permit = Some(permit);
                    self.events.push(Reverse((now + took, Event::Ends(id))));
                }
                Err(_) => self.got[kind].refused += 1,
            }
        }
    }
}
