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

use super::ControlContext;
use super::ControlCounts;
use super::ControlDriver;
use super::ControlEvent;
use super::ControlHandle;
use super::DrainCause;
use super::FaultInjector;
use super::SourceMonitor;
use crate::AuditTrail;
use crate::Shared;
use crate::dependency_monitor::AvailabilityChange;

/// Dissemination that returns prepared actions.
#[derive(Debug)]
struct PreparedActions(Vec<Action>);

impl Disseminate for PreparedActions {
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
    InstanceId::new("wd-1").expect("valid instance id")
}

fn driver(actions: Vec<Action>) -> ControlDriver {
    let counts = ControlCounts::default();
    let unused_addr = "127.0.0.1:1".parse().expect("valid address");
    let (tx, _) = mpsc::channel(1);
    let context = ControlContext {
        shared: Arc::new(Shared::new(me(), Incarnation::from_start_millis(1))),
        audit: Arc::new(AuditTrail::new(me())),
        pool: Arc::new(PeerPool::new(PeerLimits::default(), counts.bytes(), 1)),
        platform: Arc::new(PlatformClient::new(unused_addr, counts.bytes())),
        counts,
        control: ControlHandle::new(tx),
        tasks: TaskTracker::new(),
        cancel: CancellationToken::new(),
        source_monitor: Arc::new(SourceMonitor::new()),
        fault_injector: FaultInjector::default(),
    };
    ControlDriver::new(Box::new(PreparedActions(actions)), context)
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

/// Guards against a suspended process that resumes and serves beside the one that replaced
/// it: both would run requests with the same keys.
#[test]
fn replaced_process_drains() {
    let mut driver = driver(vec![replaced()]);
    assert!(!driver.is_drain_requested());
    driver.handle_spread_event(Event::Wakeup);
    assert_eq!(driver.drain_cause(), Some(DrainCause::Replaced));
    driver.handle_control_event(ControlEvent::Drain);
    assert_eq!(driver.drain_cause(), Some(DrainCause::Replaced));
    let records = driver.context().audit.page(0).records;
    assert_eq!(records[0].event, "replaced");
}

/// What happened since the start, and whether requests are accepted then.
#[derive(Debug)]
struct StartCase {
    actions: Vec<Action>,
    target_ready: bool,
    may_serve: bool,
}

#[rstest]
#[case::nothing(StartCase { actions: vec![], target_ready: false, may_serve: false })]
#[case::target_only(StartCase { actions: vec![], target_ready: true, may_serve: false })]
#[case::joined_only(StartCase {
    actions: vec![Action::Joined],
    target_ready: false,
    may_serve: false,
})]
#[case::both(StartCase { actions: vec![Action::Joined], target_ready: true, may_serve: true })]
fn requests_are_accepted_once_joined_and_target_ready(#[case] case: StartCase) {
    let mut driver = driver(case.actions);
    driver.handle_spread_event(Event::Wakeup);
    if case.target_ready {
        driver.handle_control_event(ControlEvent::TargetReady);
    }
    assert_eq!(driver.may_serve(), case.may_serve);
}

/// Guards against a log that reports the platform as lost and regained in turn while only one
/// of its two streams fails.
#[test]
fn failure_of_one_stream_is_reported_for_that_stream_only() {
    let monitor = SourceMonitor::new();
    let failed = SourceResult::Failed {
        reason: "no answer".to_owned(),
    };
    let changes = [
        monitor.record_read(Stream::Catalogue, &failed),
        monitor.record_read(Stream::Instances, &SourceResult::NothingPublished),
        monitor.record_read(Stream::Catalogue, &failed),
        monitor.record_read(Stream::Catalogue, &SourceResult::NothingPublished),
    ];
    let [lost, regained] = [
        AvailabilityChange::Lost,
        AvailabilityChange::Regained { failures: 2 },
    ]
    .map(Some);
    assert_eq!(changes, [lost, None, None, regained]);
}
