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
use super::simulated_node::SimulatedNode;
use super::source::Source;
use crate::generate::Shape;
use crate::usage::ProcessUsage;

/// Repetitions of each measurement, of which the median is reported.
const REPETITIONS: usize = 15;

/// Number of machines over which memory is averaged.
const MEMORY_MACHINES: usize = 8;

/// Maximum number of time steps until a machine reads the platform.
const MAX_READ_STEPS: usize = 20_000;

/// Maximum number of time steps until the member holds the reader's versions.
const MAX_DELIVERY_STEPS: usize = 100;

/// Number of endpoint states in one message.
const STATES_PER_MESSAGE: usize = 256;

/// Length of a time step.
const STEP: Duration = Duration::from_millis(200);

/// A machine that reads the platform, and one that receives from it.
struct Simulation {
    now: Tick,
    source: Source,
    reader: SimulatedNode,
    member: SimulatedNode,
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
    let mut simulation = Simulation::start(source)?;
    let mut times = Times::default();
    let mut announce_bytes = 0;
    for i in 0..REPETITIONS {
        announce_bytes = simulation.measure_catalogue_change(&mut times)?;
        simulation.measure_list_change(i, &mut times)?;
        simulation.measure_sync(&mut times)?;
        simulation.measure_state_announcement(i, &mut times);
        simulation.measure_picker_build(&mut times);
    }
    let sizes = Sizes::of(&simulation.source)?;
    Ok(CoreCost {
        members: shape.endpoints,
        services: shape.services,
        reader_us_per_change: median_us(times.reader),
        member_us_per_change: median_us(times.member),
        serve_us_per_change: median_us(times.serve),
        list_us_per_change: median_us(times.list),
        sync_us: median_us(times.sync),
        sync_answer_us: median_us(times.sync_answer),
        state_us: median_us(times.state),
        bind_us: median_us(times.bind),
        announce_bytes,
        sync_bytes: times.sync_bytes,
        catalogue_bytes: sizes.catalogue,
        list_bytes: sizes.list,
        published_list_bytes: sizes.published_list,
        published_catalogue_bytes: simulation.source.catalogue.text().len(),
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

impl Simulation {
    fn start(source: Source) -> miette::Result<Simulation> {
        let mut now = Tick::ZERO;
        let mut reader = SimulatedNode::new(&source.instances[0], 1);
        let mut member = SimulatedNode::new(&source.instances[1], 2);
        reader.join(&mut now, &source)?;
        member.join(&mut now, &source)?;
        let mut simulation = Simulation {
            now,
            source,
            reader,
            member,
        };
        simulation.advance_until_reading()?;
        simulation.announce_all_states();
        Ok(simulation)
    }

    /// Advances time until the first machine has taken over as a reader,
    /// because no other peer answers.
    fn advance_until_reading(&mut self) -> miette::Result<()> {
        for _ in 0..MAX_READ_STEPS {
            if self.reader.is_reader(self.now) {
                return Ok(());
            }
            self.settle();
        }
        Err(miette!("the machine doesn't read"))
    }

    /// Measures one change of the catalogue, from the platform to the member,
    /// and returns the size of its announcement.
    fn measure_catalogue_change(&mut self, times: &mut Times) -> miette::Result<usize> {
        self.source.change_catalogue();
        self.settle();
        self.answer_read(Stream::Catalogue)?;
        times.reader.push(self.reader.take_elapsed());
        self.member.take_elapsed();
        let bytes = self.deliver_announcements()?;
        times.member.push(self.member.take_elapsed());
        times.serve.push(self.reader.take_elapsed());
        Ok(bytes)
    }

    /// Measures one change of the list, from the platform to the member.
    fn measure_list_change(&mut self, i: usize, times: &mut Times) -> miette::Result<()> {
        self.source.change_instance(i);
        self.settle();
        self.answer_read(Stream::Instances)?;
        self.member.take_elapsed();
        self.deliver_announcements()?;
        times.list.push(self.member.take_elapsed());
        Ok(())
    }

    /// Measures one anti-entropy exchange.
    fn measure_sync(&mut self, times: &mut Times) -> miette::Result<()> {
        self.settle();
        let mut syncs = Vec::new();
        while syncs.is_empty() {
            self.now = self.now + STEP;
            self.member.take_elapsed();
            self.member.wake_if_due(self.now);
            syncs = self.member.take_calls(self.now, "sync");
        }
        for call in syncs {
            let request_bytes = packed_bytes(&call.message)?;
            self.reader.take_elapsed();
            let reply = self.reader.answer(self.now, &self.member.id, call.message);
            times.sync_answer.push(self.reader.take_elapsed());
            times.sync_bytes = request_bytes + packed_bytes(&reply)?;
            let call = call.id;
            self.member.handle(self.now, Event::Reply { call, reply });
        }
        times.sync.push(self.member.take_elapsed());
        Ok(())
    }

    /// Announces the states of all endpoints to both machines, as they receive
    /// them in a fleet after some time.
    fn announce_all_states(&mut self) {
        let instances = self.source.instances.clone();
        for chunk in instances.chunks(STATES_PER_MESSAGE) {
            let states = chunk.iter().map(|it| ready_state(it, 0));
            let message = announce(&self.source, states.collect());
            for machine in [&mut self.reader, &mut self.member] {
                let from = instances[2].id.clone();
                machine.answer(self.now, &from, message.clone());
            }
            self.settle();
        }
    }

    /// Measures building a picker for the snapshot in force on the member.
    fn measure_picker_build(&mut self, times: &mut Times) {
        let Some(snapshot) = &self.member.snapshot else {
            return;
        };
        let instance = &self.source.instances[1];
        let locality = Locality {
            instance: instance.id.clone(),
            domain: instance.domain.clone(),
            region: instance.region.clone(),
        };
        let meters = Arc::new(Meters::default());
        let started = Instant::now();
        let cfg = RouteSettings::default();
        let picker = Picker::build(snapshot, &locality, cfg, &meters, self.now);
        times.bind.push(started.elapsed());
        drop(picker);
    }

    /// Measures one endpoint's change of phase that arrives in an announcement.
    fn measure_state_announcement(&mut self, i: usize, times: &mut Times) {
        self.settle();
        let instance = &self.source.instances[i % self.source.instances.len()];
        let message = announce(&self.source, vec![ready_state(instance, 1 + i as u64)]);
        let from = self.reader.id.clone();
        self.member.take_elapsed();
        self.member.answer(self.now, &from, message.clone());
        self.now = self.now + STEP;
        self.member.wake_if_due(self.now);
        times.state.push(self.member.take_elapsed());
        self.reader.answer(self.now, &self.member.id, message);
        self.settle();
    }

    /// Advances time and ends what is in flight: calls fail, and reads return
    /// no newer version.
    fn settle(&mut self) {
        for _ in 0..3 {
            self.now = self.now + STEP;
            for machine in [&mut self.reader, &mut self.member] {
                machine.wake_if_due(self.now);
                machine.take_calls(self.now, "");
                machine.answer_pending_reads(self.now);
            }
        }
        self.reader.take_elapsed();
        self.member.take_elapsed();
    }

    /// Answers the reader's pending read of `stream`.
    fn answer_read(&mut self, stream: Stream) -> miette::Result<()> {
        for _ in 0..MAX_READ_STEPS {
            if let Some(at) = self
                .reader
                .pending_reads
                .iter()
                .position(|it| *it == stream)
            {
                self.reader.pending_reads.swap_remove(at);
                let result = self.source.read(stream)?;
                self.reader.take_elapsed();
                self.reader
                    .handle(self.now, Event::SourceRead { stream, result });
                self.reader.wake_if_due(self.now);
                return Ok(());
            }
            self.now = self.now + STEP;
            self.reader.wake_if_due(self.now);
            self.reader.take_calls(self.now, "");
        }
        Err(miette!("the reader doesn't read {stream}"))
    }

    /// Delivers the reader's announcements to the member, which pulls what they
    /// don't contain and announces in turn. Returns the size of the first
    /// announcement.
    fn deliver_announcements(&mut self) -> miette::Result<usize> {
        let mut bytes = None;
        for _ in 0..MAX_DELIVERY_STEPS {
            if let Some(call) = self.reader.take_calls(self.now, "announce").pop() {
                bytes = bytes.or(Some(packed_bytes(&call.message)?));
                self.member.answer(self.now, &self.reader.id, call.message);
            }
            for pull in self.member.take_calls(self.now, "pull") {
                let reply = self.reader.answer(self.now, &self.member.id, pull.message);
                let call = pull.id;
                self.member.handle(self.now, Event::Reply { call, reply });
            }
            self.member.wake_if_due(self.now);
            if self.member.versions() == self.reader.versions() {
                return bytes.ok_or_else(|| miette!("the reader announced nothing"));
            }
            self.now = self.now + STEP;
            self.reader.wake_if_due(self.now);
        }
        Err(miette!("the member doesn't hold what the reader does"))
    }
}

fn ready_state(instance: &Instance, sequence: u64) -> EndpointState {
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
            catalogue: packed_bytes(&whole)?,
            list: packed_bytes(&whole_list)?,
            published_list: json.len(),
        })
    }
}

/// Resident memory of one machine that has joined, in bytes.
fn state_bytes(source: &Source) -> miette::Result<f64> {
    let before = ProcessUsage::of_self()?.anonymous_bytes;
    let mut machines = Vec::new();
    for (i, instance) in source
        .instances
        .iter()
        .cycle()
        .take(MEMORY_MACHINES)
        .enumerate()
    {
        let mut machine = SimulatedNode::new(instance, i as u64);
        machine.join(&mut Tick::ZERO.clone(), source)?;
        machines.push(machine);
    }
    let after = ProcessUsage::of_self()?.anonymous_bytes;
    Ok(after.saturating_sub(before) as f64 / machines.len() as f64)
}

/// Bytes of a message on the wire, without its envelope.
fn packed_bytes(message: &impl serde::Serialize) -> miette::Result<usize> {
    match Packed::pack(message).into_diagnostic()? {
        Packed::Plain(bytes) | Packed::Zstd(bytes) => Ok(bytes.len()),
    }
}

fn median_us(mut times: Vec<Duration>) -> f64 {
    times.sort();
    let middle = times.get(times.len() / 2).copied().unwrap_or_default();
    middle.as_secs_f64() * 1e6
}
