//! Run of the verb `core-cost`.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use miette::IntoDiagnostic;
use miette::miette;
use sassafrasspool_core::Announce;
use sassafrasspool_core::Body;
use sassafrasspool_core::Catalogue;
use sassafrasspool_core::EndpointState;
use sassafrasspool_core::Event;
use sassafrasspool_core::Heads;
use sassafrasspool_core::Instance;
use sassafrasspool_core::InstanceList;
use sassafrasspool_core::Locality;
use sassafrasspool_core::Meters;
use sassafrasspool_core::PeerMessage;
use sassafrasspool_core::Phase;
use sassafrasspool_core::Picker;
use sassafrasspool_core::Revision;
use sassafrasspool_core::RouteSettings;
use sassafrasspool_core::Stream;
use sassafrasspool_core::Tick;
use sassafrasspool_core::catalogue;
use sassafrasspool_wire::peer::Packed;

use super::CoreCost;
use super::driven::Driven;
use super::source::Source;
use crate::generate::Shape;
use crate::usage::ProcessUsage;

/// Repetitions of each measurement, of which the median is reported.
const REPEATS: usize = 15;

/// Number of machines over which memory is averaged.
const COPIES: usize = 8;

/// Maximum number of time steps until a machine reads the platform.
const MAX_STEPS: usize = 20_000;

/// Maximum number of time steps until the member holds the reader's versions.
const MAX_PASSES: usize = 100;

/// Number of endpoint states in one message.
const STATES_AT_ONCE: usize = 256;

/// Length of a time step.
const STEP: Duration = Duration::from_millis(200);

/// A machine that reads the platform, and one that receives from it.
struct Pair {
    now: Tick,
    source: Source,
    reader: Driven,
    member: Driven,
}

/// Measures the state machine of one node in a fleet of this shape.
///
/// # Errors
///
/// Fails if a machine doesn't join, read or converge, which would be a fault
/// of this driver.
pub fn run(shape: Shape) -> miette::Result<CoreCost> {
    let source = Source::new(shape)?;
    let state_bytes = state_bytes(&source)?;
    let mut pair = Pair::start(source)?;
    let mut taken = Times::default();
    let mut announce_bytes = 0;
    for i in 0..REPEATS {
        announce_bytes = pair.change(&mut taken)?;
        pair.relist(i, &mut taken)?;
        pair.compare(&mut taken)?;
        pair.announce_state(i, &mut taken);
        pair.bind(&mut taken);
    }
    let sizes = Sizes::of(&pair.source)?;
    Ok(CoreCost {
        members: shape.endpoints,
        services: shape.services,
        reader_us_per_change: median(taken.reader),
        member_us_per_change: median(taken.member),
        serve_us_per_change: median(taken.serve),
        list_us_per_change: median(taken.list),
        sync_us: median(taken.sync),
        sync_answer_us: median(taken.sync_answer),
        state_us: median(taken.state),
        bind_us: median(taken.bind),
        announce_bytes,
        sync_bytes: taken.sync_bytes,
        catalogue_bytes: sizes.catalogue,
        list_bytes: sizes.list,
        published_list_bytes: sizes.published_list,
        published_catalogue_bytes: pair.source.catalogue.text().len(),
        state_bytes,
    })
}

/// Measured times, and the size of an anti-entropy exchange.
#[derive(Debug, Default)]
struct Times {
    reader: Vec<Duration>,
    member: Vec<Duration>,
    serve: Vec<Duration>,
    list: Vec<Duration>,
    sync: Vec<Duration>,
    sync_answer: Vec<Duration>,
    state: Vec<Duration>,
    bind: Vec<Duration>,
    sync_bytes: usize,
}

impl Pair {
    fn start(source: Source) -> miette::Result<Pair> {
        let mut now = Tick::ZERO;
        let mut reader = Driven::new(&source.instances[0], 1);
        let mut member = Driven::new(&source.instances[1], 2);
        reader.join(&mut now, &source)?;
        member.join(&mut now, &source)?;
        let mut pair = Pair {
            now,
            source,
            reader,
            member,
        };
        pair.until_reading()?;
        pair.announce_all_states();
        Ok(pair)
    }

    /// Advances time until the first machine has taken over as a reader,
    /// because no other peer answers.
    fn until_reading(&mut self) -> miette::Result<()> {
        for _ in 0..MAX_STEPS {
            if self.reader.reads(self.now) {
                return Ok(());
            }
            self.settle();
        }
        Err(miette!("the machine doesn't read"))
    }

    /// Measures one change of the catalogue, from the platform to the member,
    /// and returns the size of its announcement.
    fn change(&mut self, taken: &mut Times) -> miette::Result<usize> {
        self.source.change_catalogue();
        self.settle();
        self.read(Stream::Catalogue)?;
        taken.reader.push(self.reader.take_used());
        self.member.take_used();
        let bytes = self.pass_on()?;
        taken.member.push(self.member.take_used());
        taken.serve.push(self.reader.take_used());
        Ok(bytes)
    }

    /// Measures one change of the list, from the platform to the member.
    fn relist(&mut self, i: usize, taken: &mut Times) -> miette::Result<()> {
        self.source.change_instance(i);
        self.settle();
        self.read(Stream::Instances)?;
        self.member.take_used();
        self.pass_on()?;
        taken.list.push(self.member.take_used());
        Ok(())
    }

    /// Measures one anti-entropy exchange.
    fn compare(&mut self, taken: &mut Times) -> miette::Result<()> {
        self.settle();
        let mut syncs = Vec::new();
        while syncs.is_empty() {
            self.now = self.now + STEP;
            self.member.take_used();
            self.member.wake(self.now);
            syncs = self.member.take_calls(self.now, "sync");
        }
        for call in syncs {
            let asked = size(&call.message)?;
            self.reader.take_used();
            let reply = self.reader.answer(self.now, &self.member.id, call.message);
            taken.sync_answer.push(self.reader.take_used());
            taken.sync_bytes = asked + size(&reply)?;
            let call = call.id;
            self.member.handle(self.now, Event::Reply { call, reply });
        }
        taken.sync.push(self.member.take_used());
        Ok(())
    }

    /// Announces the states of all endpoints to both machines, as they receive
    /// them in a fleet after some time.
    fn announce_all_states(&mut self) {
        let instances = self.source.instances.clone();
        for some in instances.chunks(STATES_AT_ONCE) {
            let states = some.iter().map(|it| state(it, 0));
            let told = announce(&self.source, states.collect());
            for machine in [&mut self.reader, &mut self.member] {
                let from = instances[2].id.clone();
                machine.answer(self.now, &from, told.clone());
            }
            self.settle();
        }
    }

    /// Measures building a picker for the snapshot in force on the member.
    fn bind(&mut self, taken: &mut Times) {
        let Some(snapshot) = &self.member.snapshot else {
            return;
        };
        let place = &self.source.instances[1];
        let position = Locality {
            instance: place.id.clone(),
            domain: place.domain.clone(),
            region: place.region.clone(),
        };
        let meters = Arc::new(Meters::default());
        let from = Instant::now();
        let cfg = RouteSettings::default();
        let picker = Picker::build(snapshot, &position, cfg, &meters, self.now);
        taken.bind.push(from.elapsed());
        drop(picker);
    }

    /// Measures one endpoint's change of phase that arrives in an announcement.
    fn announce_state(&mut self, i: usize, taken: &mut Times) {
        self.settle();
        let instance = &self.source.instances[i % self.source.instances.len()];
        let told = announce(&self.source, vec![state(instance, 1 + i as u64)]);
        let from = self.reader.id.clone();
        self.member.take_used();
        self.member.answer(self.now, &from, told.clone());
        self.now = self.now + STEP;
        self.member.wake(self.now);
        taken.state.push(self.member.take_used());
        self.reader.answer(self.now, &self.member.id, told);
        self.settle();
    }

    /// Advances time and ends what is in flight: calls fail, and reads return
    /// no newer version.
    fn settle(&mut self) {
        for _ in 0..3 {
            self.now = self.now + STEP;
            for machine in [&mut self.reader, &mut self.member] {
                machine.wake(self.now);
                machine.take_calls(self.now, "");
                machine.end_watches(self.now);
            }
        }
        self.reader.take_used();
        self.member.take_used();
    }

    /// Answers the reader's pending read of `stream`.
    fn read(&mut self, stream: Stream) -> miette::Result<()> {
        for _ in 0..MAX_STEPS {
            if let Some(at) = self.reader.watches.iter().position(|it| *it == stream) {
                self.reader.watches.swap_remove(at);
                let result = self.source.read(stream)?;
                self.reader.take_used();
                self.reader
                    .handle(self.now, Event::SourceRead { stream, result });
                self.reader.wake(self.now);
                return Ok(());
            }
            self.now = self.now + STEP;
            self.reader.wake(self.now);
            self.reader.take_calls(self.now, "");
        }
        Err(miette!("the reader doesn't read {stream}"))
    }

    /// Delivers the reader's announcements to the member, which pulls what they
    /// don't contain and announces in turn. Returns the size of the first
    /// announcement.
    fn pass_on(&mut self) -> miette::Result<usize> {
        let mut bytes = None;
        for _ in 0..MAX_PASSES {
            if let Some(call) = self.reader.take_calls(self.now, "announce").pop() {
                bytes = bytes.or(Some(size(&call.message)?));
                self.member.answer(self.now, &self.reader.id, call.message);
            }
            for pull in self.member.take_calls(self.now, "pull") {
                let reply = self.reader.answer(self.now, &self.member.id, pull.message);
                let call = pull.id;
                self.member.handle(self.now, Event::Reply { call, reply });
            }
            self.member.wake(self.now);
            if self.member.versions() == self.reader.versions() {
                return bytes.ok_or_else(|| miette!("the reader announced nothing"));
            }
            self.now = self.now + STEP;
            self.reader.wake(self.now);
        }
        Err(miette!("the member doesn't hold what the reader does"))
    }
}

fn state(instance: &Instance, sequence: u64) -> EndpointState {
    EndpointState {
        instance: instance.id.clone(),
        incarnation: 2,
        sequence,
        phase: Phase::Ready,
    }
}

fn announce(source: &Source, states: Vec<EndpointState>) -> PeerMessage {
    PeerMessage::Announce(Announce {
        control: source.instances[0].control,
        heads: Heads::default(),
        contact: None,
        body: None,
        states,
        reports: Vec::new(),
    })
}

/// Sizes of whole versions in bytes.
#[derive(Debug)]
struct Sizes {
    catalogue: usize,
    list: usize,
    published_list: usize,
}

impl Sizes {
    fn of(source: &Source) -> miette::Result<Sizes> {
        let revision = Revision::new(1).into_diagnostic()?;
        let items = catalogue::parse(&source.catalogue.text()).into_diagnostic()?;
        let held = Catalogue::new(revision, items).into_diagnostic()?;
        let list = InstanceList::new(revision, source.instances.clone()).into_diagnostic()?;
        let whole = Body::whole(Stream::Catalogue, &held).into_diagnostic()?;
        let whole_list = Body::whole(Stream::Instances, &list).into_diagnostic()?;
        let json = serde_json::to_string(&source.instances).into_diagnostic()?;
        Ok(Sizes {
            catalogue: size(&whole)?,
            list: size(&whole_list)?,
            published_list: json.len(),
        })
    }
}

/// Resident memory of one machine that has joined, in bytes.
fn state_bytes(source: &Source) -> miette::Result<f64> {
    let before = ProcessUsage::of_self()?.own_bytes;
    let mut machines = Vec::new();
    for (i, instance) in source.instances.iter().cycle().take(COPIES).enumerate() {
        let mut machine = Driven::new(instance, i as u64);
        machine.join(&mut Tick::ZERO.clone(), source)?;
        machines.push(machine);
    }
    let after = ProcessUsage::of_self()?.own_bytes;
    Ok(after.saturating_sub(before) as f64 / machines.len() as f64)
}

/// Bytes of a message on the wire, without its envelope.
fn size(message: &impl serde::Serialize) -> miette::Result<usize> {
    match Packed::pack(message).into_diagnostic()? {
        Packed::Plain(bytes) | Packed::Zstd(bytes) => Ok(bytes.len()),
    }
}

fn median(mut times: Vec<Duration>) -> f64 {
    times.sort();
    let middle = times.get(times.len() / 2).copied().unwrap_or_default();
    middle.as_secs_f64() * 1e6
}
