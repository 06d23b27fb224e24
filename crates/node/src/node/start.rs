//! Starting a node.

use std::sync::Arc;
use std::thread;

use sassafrasspool_core::Error;
use sassafrasspool_core::Result;
use sassafrasspool_core::Step;
use sassafrasspool_wire::peer::PeerPool;
use sassafrasspool_wire::peer::PeerServer;
use tokio::net::TcpListener;
use tokio::runtime::Builder;
use tokio::runtime::Handle;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use tokio_util::sync::DropGuard;
use tokio_util::task::TaskTracker;

use super::Adapter;
use super::NodeAddrs;
use super::RunningNode;
use super::dissemination;
use super::listeners;
use super::readiness;
use crate::AuditTrail;
use crate::RunningTraffic;
use crate::Settings;
use crate::Shared;
use crate::Traffic;
use crate::admin::AdminServer;
use crate::control::ControlContext;
use crate::control::ControlCounts;
use crate::control::ControlDriver;
use crate::control::ControlHandle;
use crate::control::ControlTask;
use crate::control::FaultInjector;
use crate::control::PeerMessageHandler;
use crate::control::SourceMonitor;
use crate::control::StopReport;
use crate::metrics;

/// The most events that wait for the control task.
const CONTROL_QUEUE_CAPACITY: usize = 1_024;

/// Starts nodes.
#[derive(Debug)]
pub struct Node;

impl Node {
    /// Starts a node with its own threads: one for control, others for traffic.
    ///
    /// The node stops at once when `cancel` is cancelled, as if it had crashed;
    /// [`RunningNode::stop`] drains it first.
    ///
    /// # Errors
    ///
    /// Fails, naming the step, if an address can't be listened on or a thread
    /// can't be started.
    pub fn start(settings: Settings, cancel: CancellationToken) -> Result<RunningNode> {
        Node::start_with(settings, Adapter::default(), cancel)
    }

    /// Starts a node as [`Node::start`] does, with a platform adapter.
    ///
    /// # Errors
    ///
    /// As [`Node::start`].
    pub fn start_with(
        settings: Settings,
        adapter: Adapter,
        cancel: CancellationToken,
    ) -> Result<RunningNode> {
        let runtime = Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(|cause| {
                Error::new(Step::Connect, "can't create the control runtime").with_cause(cause)
            })?;
        let prepared = {
            let _context = runtime.enter();
            PreparedNode::new(settings, adapter, cancel, Traffic::start)?
        };
        let (running, task) = prepared.into_parts();
        thread::Builder::new()
            .name("control".to_owned())
            .spawn(move || runtime.block_on(task))
            .map_err(|cause| {
                Error::new(Step::Connect, "can't start the control thread").with_cause(cause)
            })?;
        Ok(running)
    }

    /// Starts a node on the runtime of `handle`, which many nodes of one process
    /// can share.
    ///
    /// # Errors
    ///
    /// Fails, naming the step, if an address can't be listened on.
    pub fn start_on(
        handle: &Handle,
        settings: Settings,
        cancel: CancellationToken,
    ) -> Result<RunningNode> {
        let _context = handle.enter();
        let traffic = |settings: &Settings, shared, cancel| {
            Traffic::start_on(handle, settings, shared, cancel)
        };
        let prepared = PreparedNode::new(settings, Adapter::default(), cancel, traffic)?;
        let (running, task) = prepared.into_parts();
        handle.spawn(task);
        Ok(running)
    }
}

/// A node whose listeners are open and whose traffic side runs. Its control side
/// isn't running yet.
struct PreparedNode {
    settings: Arc<Settings>,
    context: ControlContext,
    control: ControlTask,
    peers: TcpListener,
    admin: TcpListener,
    ready: Option<TcpListener>,
    metrics: Option<TcpListener>,
    addrs: NodeAddrs,
    /// Cancels the traffic side if the control side never runs, or if its runtime
    /// is shut down while it runs.
    cancel_guard: DropGuard,
}

impl PreparedNode {
    fn new(
        settings: Settings,
        adapter: Adapter,
        cancel: CancellationToken,
        start_traffic: impl FnOnce(&Settings, Arc<Shared>, CancellationToken) -> Result<RunningTraffic>,
    ) -> Result<PreparedNode> {
        metrics::install();
        let settings = Arc::new(settings);
        let peers = listeners::listen(settings.listen.control)?;
        let admin = listeners::listen(settings.listen.admin)?;
        let incarnation = dissemination::new_incarnation();
        let metrics_port = settings.listen.metrics.map(listeners::listen).transpose()?;
        let ready = settings.listen.ready.map(listeners::listen).transpose()?;
        let me = settings.instance.clone();
        let shared = Arc::new(Shared::with_dialect(
            adapter.dialect.clone(),
            adapter.log.clone(),
            me,
            incarnation,
        ));
        let (tx, rx) = mpsc::channel(CONTROL_QUEUE_CAPACITY);
        // The node's tasks are cancelled with the node or by the token that was
        // passed in. Stopping this node doesn't cancel other nodes that use the
        // same token.
        let cancel = cancel.child_token();
        let control = ControlHandle::new(tx);
        shared.quarantine().set_control(control.clone());
        shared.target_statements().set_control(control.clone());
        let context = new_context(&settings, &adapter, shared, control, cancel);
        let stop_traffic = context.cancel.child_token();
        let traffic = start_traffic(&settings, Arc::clone(&context.shared), stop_traffic.clone())?;
        let addrs = NodeAddrs {
            ingress: traffic.addrs().ingress,
            egress: traffic.addrs().egress,
            traffic: traffic.addrs().traffic,
            control: listeners::local_addr(&peers)?,
            admin: listeners::local_addr(&admin)?,
        };
        let now = context.shared.clock().now();
        let dissemination = dissemination::new_dissemination(
            &settings,
            addrs.control,
            incarnation,
            rand::random(),
            now,
        );
        let driver = ControlDriver::new(dissemination, context.clone());
        let control = ControlTask::new(driver, rx, Arc::clone(&settings), traffic, stop_traffic);
        let cancel_guard = context.cancel.clone().drop_guard();
        Ok(PreparedNode {
            cancel_guard,
            settings,
            context,
            control,
            peers,
            admin,
            ready,
            metrics: metrics_port,
            addrs,
        })
    }

    /// The handle to the node, and the future that runs its control side.
    fn into_parts(self) -> (RunningNode, impl Future<Output = ()> + Send + 'static) {
        let (ended_tx, ended_rx) = watch::channel(None);
        let running = RunningNode::new(
            Arc::clone(&self.settings),
            self.context.clone(),
            self.addrs,
            ended_rx,
        );
        let task = async move {
            let report = self.run().await;
            ended_tx.send_replace(Some(report));
        };
        (running, task)
    }

    /// Runs the node until it has stopped and its tasks have finished.
    async fn run(self) -> StopReport {
        let context = self.context;
        let handler = PeerMessageHandler::new(
            context.shared.me().clone(),
            context.control.clone(),
            context.counts.clone(),
        );
        let limits = self.settings.control.limits;
        let server = PeerServer::new(handler, limits, context.counts.bytes());
        context
            .tasks
            .spawn(server.serve(self.peers, context.cancel.clone()));
        if let Some(metrics) = self.metrics {
            let admin = AdminServer::new(Arc::clone(&self.settings), context.clone());
            let cancel = context.cancel.clone();
            context.tasks.spawn(admin.serve_metrics(metrics, cancel));
        }
        let admin = AdminServer::new(self.settings, context.clone());
        context
            .tasks
            .spawn(admin.serve(self.admin, context.cancel.clone()));
        if let Some(ready) = self.ready {
            let shared = Arc::clone(&context.shared);
            context
                .tasks
                .spawn(readiness::serve(ready, shared, context.cancel.clone()));
        }
        let report = self.control.run().await;
        drop(self.cancel_guard);
        context.tasks.close();
        context.tasks.wait().await;
        report
    }
}

/// Creates the control task's context.
fn new_context(
    settings: &Settings,
    adapter: &Adapter,
    shared: Arc<Shared>,
    control: ControlHandle,
    cancel: CancellationToken,
) -> ControlContext {
    let counts = ControlCounts::default();
    let pool = PeerPool::new(settings.control.limits, counts.bytes(), rand::random());
    let platform = (adapter.make_source)(settings, counts.bytes());
    ControlContext {
        shared,
        audit: Arc::new(AuditTrail::new(settings.instance.clone())),
        pool: Arc::new(pool),
        platform,
        counts,
        control,
        tasks: TaskTracker::new(),
        cancel,
        source_monitor: Arc::new(SourceMonitor::new()),
        fault_injector: FaultInjector::default(),
    }
}
