//! Nodes' admin addresses that answer by the book, wrongly or not at all.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use axum::Json;
use axum::Router;
use axum::extract::Query;
use axum::extract::State;
use axum::routing::get;
use axum::routing::post;
use http::StatusCode;
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
use sassafrasspool_wire::admin::Held;
use sassafrasspool_wire::admin::QuarantineInfo;
use sassafrasspool_wire::admin::QuarantinedInfo;
use sassafrasspool_wire::admin::ReleaseAnswer;
use sassafrasspool_wire::admin::ServiceInfo;
use sassafrasspool_wire::admin::Status;
use sassafrasspool_wire::admin::VersionInfo;
use sassafrasspool_wire::admin::Versions;
use serde::Deserialize;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::runtime::Runtime;

/// Connections that wait to be accepted.
const BACKLOG: u32 = 64;

/// One fake node.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Fake {
    instance: &'static str,
    revision: u64,
    digest: &'static str,
    manner: Manner,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Manner {
    Well,
    /// Answers 500.
    Sick,
    /// Refuses connections.
    Gone,
    /// Takes connections and never answers.
    Mute,
    /// Answers something else.
    Garbled,
    /// Holds revision 7 after so many questions.
    Turning(u64),
}

impl Fake {
    pub(crate) const fn holding(
        instance: &'static str,
        revision: u64,
        digest: &'static str,
    ) -> Fake {
        Fake {
            instance,
            revision,
            digest,
            manner: Manner::Well,
        }
    }

    pub(crate) const fn sick(instance: &'static str) -> Fake {
        Fake::holding(instance, 1, "").with(Manner::Sick)
    }

    pub(crate) const fn gone(instance: &'static str) -> Fake {
        Fake::holding(instance, 1, "").with(Manner::Gone)
    }

    pub(crate) const fn mute(instance: &'static str) -> Fake {
        Fake::holding(instance, 1, "").with(Manner::Mute)
    }

    pub(crate) const fn garbled(instance: &'static str) -> Fake {
        Fake::holding(instance, 1, "").with(Manner::Garbled)
    }

    pub(crate) const fn turning_new_after(self, questions: u64) -> Fake {
        self.with(Manner::Turning(questions))
    }

    pub(crate) fn is_mute(&self) -> bool {
        self.manner == Manner::Mute
    }

    const fn with(self, manner: Manner) -> Fake {
        Fake { manner, ..self }
    }

    fn id(&self) -> InstanceId {
        InstanceId::new(self.instance).unwrap()
    }

    fn held(&self) -> Held {
        let version = |revision, digest: &str| VersionInfo {
            revision,
            digest: digest.to_owned(),
        };
        let held = self.revision > 0;
        Held {
            catalogue: held.then(|| version(self.revision, self.digest)),
            instances: held.then(|| version(3, "ff")),
        }
    }
}

/// Fakes that run until this is dropped.
#[derive(Debug)]
pub(crate) struct Fleet {
    addrs: Vec<SocketAddr>,
    // Sockets that are bound and never accept. Holding them keeps the system
    // from giving their ports to another test.
    _held: Vec<TcpListener>,
    _bound: Vec<TcpSocket>,
    _runtime: Runtime,
}

impl Fleet {
    pub(crate) fn start(fakes: &[Fake]) -> Fleet {
        let runtime = Runtime::new().unwrap();
        let mut addrs = Vec::new();
        let mut held = Vec::new();
        let mut bound = Vec::new();
        let guard = runtime.enter();
        for fake in fakes {
            let socket = TcpSocket::new_v4().unwrap();
            socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
            addrs.push(socket.local_addr().unwrap());
            match fake.manner {
                Manner::Gone => bound.push(socket),
                Manner::Mute => held.push(socket.listen(BACKLOG).unwrap()),
                _ => serve(&runtime, socket.listen(BACKLOG).unwrap(), *fake),
            }
        }
        drop(guard);
        Fleet {
            addrs,
            _held: held,
            _bound: bound,
            _runtime: runtime,
        }
    }

    /// The value of `--nodes`.
    pub(crate) fn nodes(&self) -> String {
        let addrs = self.addrs.iter().map(ToString::to_string);
        addrs.collect::<Vec<_>>().join(",")
    }
}

#[derive(Debug)]
struct Node {
    fake: Fake,
    questions: AtomicU64,
}

#[derive(Debug, Deserialize)]
struct Asked {
    service: Option<String>,
    path: Option<String>,
    content: Option<String>,
    after: Option<u64>,
}

fn serve(runtime: &Runtime, listener: TcpListener, fake: Fake) {
    let node = Arc::new(Node {
        fake,
        questions: AtomicU64::new(0),
    });
    let app = match fake.manner {
        Manner::Sick => {
            Router::new().fallback(async || (StatusCode::INTERNAL_SERVER_ERROR, "out of order"))
        }
        Manner::Garbled => Router::new().fallback(async || "hello"),
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

async fn status(State(node): State<Arc<Node>>) -> Json<Status> {
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
        uptime_ms: 5,
        control: ControlStats::default(),
    })
}

async fn versions(State(node): State<Arc<Node>>) -> Json<Versions> {
    let questions = node.questions.fetch_add(1, Ordering::Relaxed);
    let mut held = node.fake.held();
    if matches!(node.fake.manner, Manner::Turning(after) if questions >= after) {
        held = Fake::holding("wd-1", 7, "aa").held();
    }
    Json(Versions {
        instance: node.fake.id(),
        held,
        heard: Fake::holding("wd-1", 9, "ee").held(),
        refused: None,
        refusals: 0,
        conflicts: 0,
    })
}

async fn explain(State(node): State<Arc<Node>>, Query(asked): Query<Asked>) -> Json<Explanation> {
    let service = asked.service.unwrap();
    let path = asked.path.as_deref().unwrap_or("-");
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

async fn audit(State(node): State<Arc<Node>>, Query(asked): Query<Asked>) -> Json<AuditPage> {
    let number = asked.after.unwrap_or(0) + 1;
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

async fn quarantine(State(node): State<Arc<Node>>) -> Json<QuarantineInfo> {
    let held = QuarantinedInfo {
        content: "00000000000000aa".to_owned(),
        left_ms: 7,
    };
    Json(QuarantineInfo {
        instance: node.fake.id(),
        held: Vec::from_iter((node.fake.revision > 0).then_some(held)),
    })
}

async fn release(State(node): State<Arc<Node>>, Query(asked): Query<Asked>) -> Json<ReleaseAnswer> {
    Json(ReleaseAnswer {
        instance: node.fake.id(),
        was_held: asked.content.as_deref() == Some("00000000000000aa"),
    })
}

async fn drain(State(node): State<Arc<Node>>) -> Json<DrainAnswer> {
    Json(DrainAnswer {
        instance: node.fake.id(),
        phase: Phase::Draining,
        in_flight: 3,
    })
}
