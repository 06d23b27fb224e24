//! Fake nodes whose admin addresses answer correctly, wrongly or not at all.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use axum::Json;
use axum::Router;
use axum::body::Body;
use axum::extract::Query;
use axum::extract::State;
use axum::middleware::map_response;
use axum::response::Response;
use axum::routing::get;
use axum::routing::post;
use http::HeaderValue;
use http::StatusCode;
use http::header::CONTENT_LENGTH;
use http::header::TRANSFER_ENCODING;
use sassafrasspool_core::Class;
use sassafrasspool_core::DomainName;
use sassafrasspool_core::InstanceId;
use sassafrasspool_core::InstanceState;
use sassafrasspool_core::OwnerName;
use sassafrasspool_core::Phase;
use sassafrasspool_core::RegionName;
use sassafrasspool_core::ServiceName;
use sassafrasspool_core::Stream;
use sassafrasspool_wire::admin::AuditPage;
use sassafrasspool_wire::admin::AuditRecord;
use sassafrasspool_wire::admin::ControlStats;
use sassafrasspool_wire::admin::DrainAnswer;
use sassafrasspool_wire::admin::EndpointInfo;
use sassafrasspool_wire::admin::Explanation;
use sassafrasspool_wire::admin::QuarantineInfo;
use sassafrasspool_wire::admin::QuarantinedInfo;
use sassafrasspool_wire::admin::ReleaseAnswer;
use sassafrasspool_wire::admin::ServiceInfo;
use sassafrasspool_wire::admin::Status;
use sassafrasspool_wire::admin::StreamVersions;
use sassafrasspool_wire::admin::VersionInfo;
use sassafrasspool_wire::admin::Versions;
use serde::Deserialize;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::runtime::Runtime;

/// The most connections that wait to be accepted.
const MAX_BACKLOG: u32 = 64;

/// A fake node: its instance, the catalogue that it holds and its behaviour.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FakeNode {
    instance: &'static str,
    epoch: u64,
    revision: u64,
    digest: &'static str,
    behaviour: Behaviour,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Behaviour {
    /// Answers every request correctly.
    Correct,
    /// Answers every request with status 500.
    Failing,
    /// Refuses connections.
    Refusing,
    /// Accepts connections in the kernel's backlog and never answers.
    Unresponsive,
    /// Answers every request with a body that isn't JSON.
    Garbled,
    /// Answers correctly, but states a transfer coding that no client asked for.
    Coded,
    /// Answers correctly; holds revision 7 after this many requests for versions.
    UpgradedAfter(u64),
}

impl FakeNode {
    pub(crate) const fn with_version(
        instance: &'static str,
        revision: u64,
        digest: &'static str,
    ) -> FakeNode {
        FakeNode {
            instance,
            epoch: 0,
            revision,
            digest,
            behaviour: Behaviour::Correct,
        }
    }

    pub(crate) const fn in_epoch(self, epoch: u64) -> FakeNode {
        FakeNode { epoch, ..self }
    }

    pub(crate) const fn failing(instance: &'static str) -> FakeNode {
        FakeNode::with_version(instance, 1, "").with_behaviour(Behaviour::Failing)
    }

    pub(crate) const fn refusing(instance: &'static str) -> FakeNode {
        FakeNode::with_version(instance, 1, "").with_behaviour(Behaviour::Refusing)
    }

    pub(crate) const fn unresponsive(instance: &'static str) -> FakeNode {
        FakeNode::with_version(instance, 1, "").with_behaviour(Behaviour::Unresponsive)
    }

    pub(crate) const fn garbled(instance: &'static str) -> FakeNode {
        FakeNode::with_version(instance, 1, "").with_behaviour(Behaviour::Garbled)
    }

    pub(crate) const fn coded(instance: &'static str) -> FakeNode {
        FakeNode::with_version(instance, 1, "").with_behaviour(Behaviour::Coded)
    }

    pub(crate) const fn upgraded_after(self, requests: u64) -> FakeNode {
        self.with_behaviour(Behaviour::UpgradedAfter(requests))
    }

    pub(crate) fn is_unresponsive(&self) -> bool {
        self.behaviour == Behaviour::Unresponsive
    }

    const fn with_behaviour(self, behaviour: Behaviour) -> FakeNode {
        FakeNode { behaviour, ..self }
    }

    fn id(&self) -> InstanceId {
        InstanceId::new(self.instance).unwrap()
    }

    fn held(&self) -> StreamVersions {
        let version = |revision, digest: &str| VersionInfo {
            epoch: self.epoch,
            revision,
            digest: digest.to_owned(),
        };
        let holds_any = self.revision > 0;
        StreamVersions {
            catalogue: holds_any.then(|| version(self.revision, self.digest)),
            instances: holds_any.then(|| version(3, "ff")),
        }
    }
}

/// Fake nodes that run until this is dropped.
#[derive(Debug)]
pub(crate) struct FakeFleet {
    addrs: Vec<SocketAddr>,
    // Sockets that are bound and never accept. They stay open so that the
    // system doesn't assign their ports to another test.
    _listening: Vec<TcpListener>,
    _bound: Vec<TcpSocket>,
    _runtime: Runtime,
}

impl FakeFleet {
    pub(crate) fn start(fakes: &[FakeNode]) -> FakeFleet {
        let runtime = Runtime::new().unwrap();
        let mut addrs = Vec::new();
        let mut listening = Vec::new();
        let mut bound = Vec::new();
        let guard = runtime.enter();
        for fake in fakes {
            let socket = TcpSocket::new_v4().unwrap();
            socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
            addrs.push(socket.local_addr().unwrap());
            match fake.behaviour {
                Behaviour::Refusing => bound.push(socket),
                Behaviour::Unresponsive => listening.push(socket.listen(MAX_BACKLOG).unwrap()),
                _ => serve(&runtime, socket.listen(MAX_BACKLOG).unwrap(), *fake),
            }
        }
        drop(guard);
        FakeFleet {
            addrs,
            _listening: listening,
            _bound: bound,
            _runtime: runtime,
        }
    }

    /// The addresses of the fake nodes, as a value of `--nodes`.
    pub(crate) fn nodes(&self) -> String {
        let addrs = self.addrs.iter().map(ToString::to_string);
        addrs.collect::<Vec<_>>().join(",")
    }
}

#[derive(Debug)]
struct NodeState {
    fake: FakeNode,
    version_requests: AtomicU64,
}

#[derive(Debug, Deserialize)]
struct AdminQuery {
    service: Option<String>,
    path: Option<String>,
    content: Option<String>,
    after: Option<u64>,
}

fn serve(runtime: &Runtime, listener: TcpListener, fake: FakeNode) {
    let node = Arc::new(NodeState {
        fake,
        version_requests: AtomicU64::new(0),
    });
    let app = match fake.behaviour {
        Behaviour::Failing => {
            Router::new().fallback(async || (StatusCode::INTERNAL_SERVER_ERROR, "out of order"))
        }
        Behaviour::Garbled => Router::new().fallback(async || "hello"),
        Behaviour::Coded => Router::new()
            .route("/status", get(status))
            .with_state(node)
            .layer(map_response(add_coding)),
        _ => Router::new()
            .route("/status", get(status))
            .route("/versions", get(versions))
            .route("/routes/explain", get(explain))
            .route("/audit", get(audit))
            .route("/quarantine", get(quarantine))
            .route("/quarantine/release", post(release))
            .route("/drain", post(drain))
            .with_state(node),
    };
    runtime.spawn(async move { axum::serve(listener, app).await });
}

async fn add_coding(mut res: Response) -> Response {
    // A body of known size is sent with its length instead of a coding.
    res.headers_mut().remove(CONTENT_LENGTH);
    *res.body_mut() = Body::from_stream(std::mem::take(res.body_mut()).into_data_stream());
    let coding = HeaderValue::from_static("gzip");
    res.headers_mut().insert(TRANSFER_ENCODING, coding);
    res
}

async fn status(State(node): State<Arc<NodeState>>) -> Json<Status> {
    Json(Status {
        instance: node.fake.id(),
        service: ServiceName::new("workshop-desk").unwrap(),
        region: RegionName::new("ulaanbaatar").unwrap(),
        domain: DomainName::new("bayanzurkh").unwrap(),
        incarnation: 1,
        phase: Phase::Ready,
        joined: true,
        reading: false,
        held: node.fake.held(),
        evacuations: Vec::new(),
        in_flight: 3,
        peers: 9,
        source_age_ms: None,
        link: None,
        uptime_ms: 5,
        control: ControlStats::default(),
    })
}

async fn versions(State(node): State<Arc<NodeState>>) -> Json<Versions> {
    let earlier = node.version_requests.fetch_add(1, Ordering::Relaxed);
    let mut held = node.fake.held();
    if matches!(node.fake.behaviour, Behaviour::UpgradedAfter(requests) if earlier >= requests) {
        held = FakeNode::with_version("wd-1", 7, "aa").held();
    }
    Json(Versions {
        instance: node.fake.id(),
        held,
        heard: FakeNode::with_version("wd-1", 9, "ee").held(),
        refused: None,
        refusals: 0,
        conflicts: 0,
    })
}

async fn explain(
    State(node): State<Arc<NodeState>>,
    Query(query): Query<AdminQuery>,
) -> Json<Explanation> {
    let service = query.service.unwrap();
    let path = query.path.as_deref().unwrap_or("-");
    Json(Explanation {
        held: node.fake.held(),
        route: None,
        reason: format!("{service} {path}"),
        service: Some(ServiceInfo {
            name: ServiceName::new(&service).unwrap(),
            owner: OwnerName::new("claims-review").unwrap(),
            class: Class::Critical,
            endpoints: vec![EndpointInfo {
                instance: InstanceId::new("wd-9").unwrap(),
                region: RegionName::new("ulaanbaatar").unwrap(),
                domain: DomainName::new("bayanzurkh").unwrap(),
                evacuated: false,
                traffic: SocketAddr::from(([127, 0, 0, 1], 9)),
                slots: 10,
                listed: InstanceState::Live,
                phase: None,
            }],
        }),
    })
}

async fn audit(
    State(node): State<Arc<NodeState>>,
    Query(query): Query<AdminQuery>,
) -> Json<AuditPage> {
    let number = query.after.unwrap_or(0) + 1;
    let record = AuditRecord {
        number,
        unix_ms: 1_500,
        event: "applied".to_owned(),
        stream: Some(Stream::Catalogue),
        version: node.fake.held().catalogue,
        ..AuditRecord::default()
    };
    Json(AuditPage {
        instance: node.fake.id(),
        records: vec![record],
        dropped: 2,
    })
}

async fn quarantine(State(node): State<Arc<NodeState>>) -> Json<QuarantineInfo> {
    let held = QuarantinedInfo {
        content: "00000000000000aa".to_owned(),
        left_ms: 7,
    };
    Json(QuarantineInfo {
        instance: node.fake.id(),
        held: Vec::from_iter((node.fake.revision > 0).then_some(held)),
    })
}

async fn release(
    State(node): State<Arc<NodeState>>,
    Query(query): Query<AdminQuery>,
) -> Json<ReleaseAnswer> {
    Json(ReleaseAnswer {
        instance: node.fake.id(),
        was_held: query.content.as_deref() == Some("00000000000000aa"),
    })
}

async fn drain(State(node): State<Arc<NodeState>>) -> Json<DrainAnswer> {
    Json(DrainAnswer {
        instance: node.fake.id(),
        phase: Phase::Draining,
        in_flight: 3,
    })
}
