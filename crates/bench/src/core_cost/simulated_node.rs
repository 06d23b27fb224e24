//! A state machine that is driven without I/O.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use miette::miette;
use sassafrasspool_core::Action;
use sassafrasspool_core::Call;
use sassafrasspool_core::Event;
use sassafrasspool_core::Incarnation;
use sassafrasspool_core::Instance;
use sassafrasspool_core::InstanceId;
use sassafrasspool_core::LocalNode;
use sassafrasspool_core::PeerMessage;
use sassafrasspool_core::PeerReply;
use sassafrasspool_core::Snapshot;
use sassafrasspool_core::SourceResult;
use sassafrasspool_core::SpreadConfig;
use sassafrasspool_core::SpreadMachine;
use sassafrasspool_core::Stream;
use sassafrasspool_core::Tick;
use sassafrasspool_core::Version;

use super::source::Source;

/// Maximum number of time steps until the machine has joined.
const MAX_STEPS: usize = 20_000;

/// Length of a time step while joining.
const STEP: Duration = Duration::from_millis(5);

/// A state machine with its pending calls and reads.
#[derive(Debug)]
pub(super) struct SimulatedNode {
    pub(super) id: InstanceId,
    machine: SpreadMachine,
    joined: bool,
    /// The snapshot in force.
    pub(super) snapshot: Option<Arc<Snapshot>>,
    /// Calls without an answer yet.
    pub(super) pending_calls: Vec<Call>,
    /// Streams with a pending read of the platform.
    pub(super) pending_reads: Vec<Stream>,
    /// Time spent in the machine since the last [`SimulatedNode::take_elapsed`].
    elapsed: Duration,
}

impl SimulatedNode {
    pub(super) fn new(local: &Instance, seed: u64) -> SimulatedNode {
        let node = LocalNode {
            id: local.id.clone(),
            domain: local.domain.clone(),
            control: local.control,
            incarnation: Incarnation::from_start_millis(1),
            seeds: Vec::new(),
        };
        SimulatedNode {
            id: local.id.clone(),
            machine: SpreadMachine::new(config(), node, seed, Tick::ZERO),
            joined: false,
            snapshot: None,
            pending_calls: Vec::new(),
            pending_reads: Vec::new(),
            elapsed: Duration::ZERO,
        }
    }

    /// Runs the machine until it has joined. Its reads are answered; its calls
    /// to peers fail.
    pub(super) fn join(&mut self, now: &mut Tick, source: &Source) -> miette::Result<()> {
        for _ in 0..MAX_STEPS {
            *now = *now + STEP;
            self.wake_if_due(*now);
            for call in std::mem::take(&mut self.pending_calls) {
                self.handle(*now, Event::CallFailed { call: call.id });
            }
            for stream in std::mem::take(&mut self.pending_reads) {
                let result = source.read(stream)?;
                self.handle(*now, Event::SourceRead { stream, result });
            }
            if self.joined {
                return Ok(());
            }
        }
        Err(miette!("the machine didn't join"))
    }

    /// Wakes the machine up, if that is due.
    pub(super) fn wake_if_due(&mut self, now: Tick) {
        if self.machine.next_wakeup() <= now {
            self.handle(now, Event::Wakeup);
        }
    }

    pub(super) fn handle(&mut self, now: Tick, event: Event) {
        let mut actions = Vec::new();
        let started = Instant::now();
        self.machine.handle(now, event, &mut actions);
        self.elapsed += started.elapsed();
        self.record_actions(actions);
    }

    pub(super) fn answer(
        &mut self,
        now: Tick,
        from: &InstanceId,
        message: PeerMessage,
    ) -> PeerReply {
        let mut actions = Vec::new();
        let started = Instant::now();
        let reply = self.machine.answer(now, from, message, &mut actions);
        self.elapsed += started.elapsed();
        self.record_actions(actions);
        reply
    }

    /// Answers the pending reads: the platform has no newer version.
    pub(super) fn answer_pending_reads(&mut self, now: Tick) {
        for stream in std::mem::take(&mut self.pending_reads) {
            let result = SourceResult::Unchanged { newest: None };
            self.handle(now, Event::SourceRead { stream, result });
        }
    }

    /// The versions in force.
    pub(super) fn versions(&self) -> Option<[Version; 2]> {
        let snapshot = self.snapshot.as_ref()?;
        Some([snapshot.catalogue(), snapshot.instances()])
    }

    /// Whether the machine reads the platform.
    pub(super) fn is_reader(&self, now: Tick) -> bool {
        self.machine.status(now).reading
    }

    /// The time spent in the machine since the last call of this method.
    pub(super) fn take_elapsed(&mut self) -> Duration {
        std::mem::take(&mut self.elapsed)
    }

    /// Removes and returns the pending calls of one kind; the others fail.
    pub(super) fn take_calls(&mut self, now: Tick, kind: &str) -> Vec<Call> {
        let calls = std::mem::take(&mut self.pending_calls);
        let (selected, rest): (Vec<Call>, Vec<Call>) = calls
            .into_iter()
            .partition(|call| call.message.kind() == kind);
        for call in rest {
            self.handle(now, Event::CallFailed { call: call.id });
        }
        selected
    }

    fn record_actions(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(call) => self.pending_calls.push(*call),
                Action::ReadSource { stream, .. } => self.pending_reads.push(stream),
                Action::Apply(applied) => self.snapshot = Some(applied.snapshot),
                Action::Joined => self.joined = true,
                _ => {}
            }
        }
    }
}

/// The driver lets all calls fail that it doesn't measure. With the default bound, the machines
/// would ask each other for news, and would then pass over a peer that didn't answer.
fn config() -> SpreadConfig {
    SpreadConfig {
        staleness_bound: Duration::from_secs(60),
        ..SpreadConfig::default()
    }
}
