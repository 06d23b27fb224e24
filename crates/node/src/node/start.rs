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
use super::listeners;
use super::readiness;
use super::spread;
use crate::AuditTrail;
use crate::RunningTraffic;
use crate::Settings;
use crate::Shared;
use crate::Traffic;
use crate::admin::Admin;
use crate::control::Control;
use crate::control::ControlCounts;
use crate::control::ControlHandle;
use crate::control::Gate;
use crate::control::Inbound;
use crate::control::Machine;
use crate::control::Outside;
use crate::control::SourceReach;
use crate::control::StopReport;
use crate::metrics;

/// Events that wait for the control task at most.
const QUEUE: usize = 1_024;

/// Starts nodes.
#[derive(Debug)]
pub struct Node;

impl Node {
    /// Starts a node with threads of its own: one for control, others for
    /// traffic.
    ///
    /// The node ends at once when `cancel` is cancelled, as if it had crashed;
    /// [`RunningNode::stop`] ends it without cutting a request.
    ///
    /// # Errors
    ///
    /// Fails, naming the step, if an address can't be listened on or a thread
    /// can't be started.
    pub fn start(settings: Settings, cancel: CancellationToken) -> Result<RunningNode> {
        Node::start_with(settings, Adapter::default(), cancel)
    }

    /// The same on the platform of an adapter.
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
            .map_err(|cause| Error::new(Step::Connect, "no control runtime").with_cause(cause))?;
        let plan = {
            let _context = runtime.enter();
            Plan::new(settings, adapter, cancel, Traffic::start)?
        };
        let (running, life) = plan.into_parts();
        thread::Builder::new()
            .name("control".to_owned())
            .spawn(move || runtime.block_on(life))
            .map_err(|cause| Error::new(Step::Connect, "no control thread").with_cause(cause))?;
        Ok(running)
    }

    /// Starts a node on the threads of `handle`, which many nodes of one
    /// process can share.
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
        let plan = Plan::new(settings, Adapter::default(), cancel, traffic)?;
        let (running, life) = plan.into_parts();
        handle.spawn(life);
        Ok(running)
    }
}

/// A node with its listeners open, of which nothing runs yet but its traffic
/// side.
struct Plan {
    settings: Arc<Settings>,
    outside: Outside,
    control: Control,
    peers: TcpListener,
    admin: TcpListener,
    ready: Option<TcpListener>,
    metrics: Option<TcpListener>,
    addrs: NodeAddrs,
    /// Ends the traffic side if the control side never runs, or if its
    /// runtime is shut down under it.
    guard: DropGuard,
}

impl Plan {
    fn new(
        settings: Settings,
        adapter: Adapter,
        cancel: CancellationToken,
        start_traffic: impl FnOnce(&Settings, Arc<Shared>, CancellationToken) -> Result<RunningTraffic>,
    ) -> Result<Plan> {
        metrics::install();
        let settings = Arc::new(settings);
        let peers = listeners::listen(settings.listen.control)?;
        let admin = listeners::listen(settings.listen.admin)?;
        let incarnation = spread::incarnation();
        let metrics_port = settings.listen.metrics.map(listeners::listen).transpose()?;
        let ready = settings.listen.ready.map(listeners::listen).transpose()?;
        let me = settings.instance.clone();
        let shared = Arc::new(Shared::speaking(
            adapter.dialect.clone(),
            adapter.log.clone(),
            me,
            incarnation,
        ));
        let (tx, rx) = mpsc::channel(QUEUE);
        // What the node runs ends with the node, and also with the caller's
        // token: the caller's other nodes go on.
        let cancel = cancel.child_token();
        let control = ControlHandle::new(tx);
        shared.quarantine().set_control(control.clone());
        let outside = outside(&settings, &adapter, shared, control, cancel);
        let stop_traffic = outside.cancel.child_token();
        let traffic = start_traffic(&settings, Arc::clone(&outside.shared), stop_traffic.clone())?;
        let addrs = NodeAddrs {
            ingress: traffic.addrs().ingress,
            egress: traffic.addrs().egress,
            traffic: traffic.addrs().traffic,
            control: listeners::bound(&peers)?,
            admin: listeners::bound(&admin)?,
        };
        let now = outside.shared.clock().now();
        let decisions =
            spread::decisions(&settings, addrs.control, incarnation, rand::random(), now);
        let machine = Machine::new(decisions, outside.clone());
        let control = Control::new(machine, rx, Arc::clone(&settings), traffic, stop_traffic);
        let guard = outside.cancel.clone().drop_guard();
        Ok(Plan {
            guard,
            settings,
            outside,
            control,
            peers,
            admin,
            ready,
            metrics: metrics_port,
            addrs,
        })
    }

    /// What the caller gets, and what is to run.
    fn into_parts(self) -> (RunningNode, impl Future<Output = ()> + Send + 'static) {
        let (ended_tx, ended_rx) = watch::channel(None);
        let running = RunningNode::new(
            Arc::clone(&self.settings),
            self.outside.clone(),
            self.addrs,
            ended_rx,
        );
        let life = async move {
            let report = self.live().await;
            ended_tx.send_replace(Some(report));
        };
        (running, life)
    }

    async fn live(self) -> StopReport {
        let outside = self.outside;
        let inbound = Inbound::new(
            outside.shared.me().clone(),
            outside.control.clone(),
            outside.counts.clone(),
        );
        let limits = self.settings.control.limits;
        let server = PeerServer::new(inbound, limits, outside.counts.bytes());
        outside
            .tasks
            .spawn(server.serve(self.peers, outside.cancel.clone()));
        if let Some(metrics) = self.metrics {
            let admin = Admin::new(Arc::clone(&self.settings), outside.clone());
            let cancel = outside.cancel.clone();
            outside.tasks.spawn(admin.serve_metrics(metrics, cancel));
        }
        let admin = Admin::new(self.settings, outside.clone());
        outside
            .tasks
            .spawn(admin.serve(self.admin, outside.cancel.clone()));
        if let Some(ready) = self.ready {
            let shared = Arc::clone(&outside.shared);
            outside
                .tasks
                .spawn(readiness::serve(ready, shared, outside.cancel.clone()));
        }
        let report = self.control.run().await;
        drop(self.guard);
        outside.tasks.close();
        outside.tasks.wait().await;
        report
    }
}

/// The node's ways to everything else.
fn outside(
    settings: &Settings,
    adapter: &Adapter,
    shared: Arc<Shared>,
    control: ControlHandle,
    cancel: CancellationToken,
) -> Outside {
    let counts = ControlCounts::default();
    let pool = PeerPool::new(settings.control.limits, counts.bytes(), rand::random());
    let platform = (adapter.source)(settings, counts.bytes());
    Outside {
        shared,
        audit: Arc::new(AuditTrail::new(settings.instance.clone())),
        pool: Arc::new(pool),
        platform,
        counts,
        control,
        tasks: TaskTracker::new(),
        cancel,
        reach: Arc::new(SourceReach::new()),
        gate: Gate::default(),
    }
}
