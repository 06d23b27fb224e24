use std::sync::Arc;

use rstest::rstest;
use sassafrasspool_core::Action;
use sassafrasspool_core::AuditEvent;
use sassafrasspool_core::Disseminate;
use sassafrasspool_core::EndpointState;
use sassafrasspool_core::Event;
use sassafrasspool_core::Incarnation;
use sassafrasspool_core::InstanceId;
use sassafrasspool_core::PeerMessage;
use sassafrasspool_core::PeerReply;
use sassafrasspool_core::Phase;
use sassafrasspool_core::SourceResult;
use sassafrasspool_core::SpreadStatus;
use sassafrasspool_core::Stream;
use sassafrasspool_core::Tick;
use sassafrasspool_wire::peer::PeerLimits;
use sassafrasspool_wire::peer::PeerPool;
use sassafrasspool_wire::platform::PlatformClient;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::ControlCounts;
use super::ControlEvent;
use super::ControlHandle;
use super::Gate;
use super::Leaving;
use super::Machine;
use super::Outside;
use super::SourceReach;
use crate::AuditTrail;
use crate::Shared;
use crate::reach::Change;

/// Decisions that were taken before the test.
#[derive(Debug)]
struct Scripted(Vec<Action>);

impl Disseminate for Scripted {
    fn handle(&mut self, _: Tick, _: Event, out: &mut Vec<Action>) {
        out.append(&mut self.0);
    }

    fn answer(
        &mut self,
        _: Tick,
        _: &InstanceId,
        _: PeerMessage,
        out: &mut Vec<Action>,
    ) -> PeerReply {
        out.append(&mut self.0);
        PeerReply::Refused
    }

    fn next_wakeup(&self) -> Tick {
        Tick::ZERO
    }

    fn status(&self, _: Tick) -> SpreadStatus {
        SpreadStatus::default()
    }
}

fn me() -> InstanceId {
    InstanceId::new("wd-1").expect("a name")
}

fn machine(actions: Vec<Action>) -> Machine {
    let counts = ControlCounts::default();
    let nowhere = "127.0.0.1:1".parse().expect("an address");
    let (tx, _) = mpsc::channel(1);
    let outside = Outside {
        shared: Arc::new(Shared::new(me(), Incarnation::from_start_millis(1))),
        audit: Arc::new(AuditTrail::new(me())),
        pool: Arc::new(PeerPool::new(PeerLimits::default(), counts.bytes(), 1)),
        platform: Arc::new(PlatformClient::new(nowhere, counts.bytes())),
        counts,
        control: ControlHandle::new(tx),
        tasks: TaskTracker::new(),
        cancel: CancellationToken::new(),
        reach: Arc::new(SourceReach::new()),
        gate: Gate::default(),
    };
    Machine::new(Box::new(Scripted(actions)), outside)
}

fn replaced() -> Action {
    Action::Audit(AuditEvent::Replaced {
        state: EndpointState {
            instance: me(),
            incarnation: 2,
            sequence: 1,
            phase: Phase::Ready,
        },
    })
}

/// Guards against a woken process that works on beside the one that replaced it.
#[test]
fn replaced_process_leaves() {
    let mut machine = machine(vec![replaced()]);
    assert!(!machine.is_leaving());
    machine.handle(Event::Wakeup);
    assert_eq!(machine.leaving(), Some(Leaving::Replaced));
    machine.take(ControlEvent::Drain);
    assert_eq!(machine.leaving(), Some(Leaving::Replaced));
    let records = machine.outside().audit.page(0).records;
    assert_eq!(records[0].event, "replaced");
}

/// What happened, and whether requests may be taken then.
#[derive(Debug)]
struct Start {
    actions: Vec<Action>,
    target_ready: bool,
    serves: bool,
}

#[rstest]
#[case::nothing(Start { actions: vec![], target_ready: false, serves: false })]
#[case::target_alone(Start { actions: vec![], target_ready: true, serves: false })]
#[case::joined_alone(Start {
    actions: vec![Action::Joined],
    target_ready: false,
    serves: false,
})]
#[case::both(Start { actions: vec![Action::Joined], target_ready: true, serves: true })]
fn requests_are_taken_once_joined_and_started(#[case] case: Start) {
    let mut machine = machine(case.actions);
    machine.handle(Event::Wakeup);
    if case.target_ready {
        machine.take(ControlEvent::TargetReady);
    }
    assert_eq!(machine.may_serve(), case.serves);
}

/// Guards against a log that flaps since one stream of two fails.
#[test]
fn a_stream_that_fails_alone_is_lost_alone() {
    let reach = SourceReach::new();
    let failed = SourceResult::Failed {
        reason: "no answer".to_owned(),
    };
    let changes = [
        reach.note(Stream::Catalogue, &failed),
        reach.note(Stream::Instances, &SourceResult::NothingPublished),
        reach.note(Stream::Catalogue, &failed),
        reach.note(Stream::Catalogue, &SourceResult::NothingPublished),
    ];
    let [lost, regained] = [Change::Lost, Change::Regained { missed: 2 }].map(Some);
    assert_eq!(changes, [lost, None, None, regained]);
}
