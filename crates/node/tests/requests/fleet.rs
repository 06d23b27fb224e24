//! Some nodes with their targets, without a control side: the test puts the
//! views in force.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::num::NonZeroU32;
use std::sync::Arc;
use std::time::Duration;

use sassafrasspool_core::Catalogue;
use sassafrasspool_core::Incarnation;
use sassafrasspool_core::Instance;
use sassafrasspool_core::InstanceList;
use sassafrasspool_core::InstanceState;
use sassafrasspool_core::Phase;
use sassafrasspool_core::Revision;
use sassafrasspool_core::Snapshot;
use sassafrasspool_core::TargetGeneration;
use sassafrasspool_core::catalogue;
use sassafrasspool_node::Dialect;
use sassafrasspool_node::RunningTraffic;
use sassafrasspool_node::Settings;
use sassafrasspool_node::Shared;
use sassafrasspool_node::Traffic;
use sassafrasspool_node::TrafficAddrs;
use sassafrasspool_node::View;
use sassafrasspool_node::log::LogSink;
use sassafrasspool_standin::Target;
use sassafrasspool_standin::TargetSettings;
use sassafrasspool_standin::Written;
use sassafrasspool_standin::target::Run;
use tokio_util::sync::CancellationToken;

/// The catalogue of all these tests.
const CATALOGUE: &str = include_str!("catalogue.yaml");

/// Slots of each target.
pub(crate) const SLOTS: u32 = 4;

/// More than any test writes in a second.
const LOG_BYTES_PER_S: u64 = 1_000_000;

/// A node with the target beside it.
#[derive(Debug)]
pub(crate) struct Member {
    pub(crate) id: &'static str,
    pub(crate) service: &'static str,
    pub(crate) target: Target,
    pub(crate) shared: Arc<Shared>,
    pub(crate) addrs: TrafficAddrs,
    pub(crate) cancel: CancellationToken,
    pub(crate) traffic: Option<RunningTraffic>,
    /// The log of the node.
    pub(crate) written: Written,
}

/// What a member is started with.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Spec {
    pub(crate) id: &'static str,
    pub(crate) service: &'static str,
    pub(crate) region: &'static str,
    pub(crate) domain: &'static str,
    /// Slots that the node believes its target to have.
    pub(crate) slots: u32,
}

/// A desk in one failure domain, which other specs vary.
pub(crate) const DESK: Spec = Spec {
    id: "wd-1",
    service: "workshop-desk",
    region: "ulaanbaatar",
    domain: "bayanzurkh",
    slots: SLOTS,
};

/// The desk that adjusters use, in another failure domain.
pub(crate) const ADJUSTER: Spec = Spec {
    id: "ad-1",
    service: "adjuster-desk",
    region: "ulaanbaatar",
    domain: "khan-uul",
    slots: SLOTS,
};

impl Member {
    async fn start(spec: Spec, cfg: TargetSettings, other: Option<SocketAddr>) -> Member {
        let target = Target::start(cfg, CancellationToken::new())
            .await
            .expect("a target");
        let settings = settings(spec, other.unwrap_or_else(|| target.addr()));
        let written = Written::default();
        let log = LogSink::start(LOG_BYTES_PER_S, written.clone());
        let shared = Arc::new(Shared::speaking(
            Dialect::OWN,
            log.expect("a thread"),
            settings.instance.clone(),
            Incarnation::from_start_millis(1),
        ));
        shared.advance(Phase::Ready);
        let cancel = CancellationToken::new();
        let traffic = Traffic::start(&settings, Arc::clone(&shared), cancel.clone());
        let traffic = traffic.expect("a node");
        Member {
            id: spec.id,
            service: spec.service,
            target,
            shared,
            addrs: traffic.addrs(),
            cancel,
            traffic: Some(traffic),
            written,
        }
    }

    /// What the target ran under this request id.
    pub(crate) fn runs_of(&self, id: &str) -> Vec<Run> {
        let runs = self.target.ledger().runs;
        runs.into_iter().filter(|run| run.id == id).collect()
    }

    fn instance(&self, spec: &Spec) -> Instance {
        let control = "127.0.0.1:9".parse().expect("an address");
        Instance {
            id: name(self.id),
            service: name(self.service),
            region: name(spec.region),
            domain: name(spec.domain),
            traffic: self.addrs.traffic,
            control,
            slots: spec.slots,
            connections: 2 * spec.slots,
            state: InstanceState::Live,
            target: None,
            cold_for: Duration::ZERO,
        }
    }
}

fn name<T: TryFrom<Arc<str>, Error: std::fmt::Debug>>(text: &str) -> T {
    T::try_from(Arc::from(text)).expect("a name")
}

fn settings(spec: Spec, target: SocketAddr) -> Settings {
    let Spec {
        id,
        service,
        region,
        domain,
        slots,
    } = spec;
    let any = "127.0.0.1:0";
    let text = format!(
        "
instance: {id}
service: {service}
region: {region}
domain: {domain}
listen: {{ingress: {any}, egress: {any}, traffic: {any}, control: {any}, admin: {any}}}
target: {{addr: {target}, slots: {slots}, ready_path: /healthz}}
platform: {{addr: 127.0.0.1:6000}}
repeat: {{lease_ms: 500}}
"
    );
    Settings::parse(&text).expect("settings")
}

/// All members, each of which knows the others.
#[derive(Debug)]
pub(crate) struct Fleet {
    pub(crate) members: Vec<Member>,
}

impl Fleet {
    /// Starts one member for each spec.
    pub(crate) async fn start(specs: &[Spec]) -> Fleet {
        let slots = NonZeroU32::new(SLOTS).expect("slots");
        let cfg = TargetSettings {
            slots,
            ..TargetSettings::default()
        };
        Fleet::start_with(specs, cfg).await
    }

    /// Starts one member for each spec, all in front of another target.
    pub(crate) async fn start_before(specs: &[Spec], target: SocketAddr) -> Fleet {
        Fleet::start_all(specs, TargetSettings::default(), Some(target)).await
    }

    /// Starts one member for each spec, with targets of these settings.
    pub(crate) async fn start_with(specs: &[Spec], cfg: TargetSettings) -> Fleet {
        Fleet::start_all(specs, cfg, None).await
    }

    async fn start_all(specs: &[Spec], cfg: TargetSettings, other: Option<SocketAddr>) -> Fleet {
        let mut members = Vec::new();
        for &spec in specs {
            members.push(Member::start(spec, cfg.clone(), other).await);
        }
        let fleet = Fleet { members };
        fleet.publish(specs, 1, &[]);
        fleet
    }

    /// Puts a list in force everywhere in which the members named leave.
    pub(crate) fn publish(&self, specs: &[Spec], revision: u64, leaving: &[&str]) {
        let view = self.view(specs, revision, leaving);
        for member in &self.members {
            member.shared.set_view(view.clone());
        }
    }

    /// Puts a catalogue in force everywhere that has these lines as well.
    pub(crate) fn publish_with(&self, specs: &[Spec], revision: u64, lines: &str) {
        let view = self.view_with(specs, revision, lines);
        for member in &self.members {
            member.shared.set_view(view.clone());
        }
    }

    /// Puts a catalogue in force everywhere whose route for lookups at the desk has these
    /// fields as well.
    pub(crate) fn publish_lookups(&self, specs: &[Spec], revision: u64, fields: &str) {
        let view = self.view_of_lookups(specs, revision, fields);
        for member in &self.members {
            member.shared.set_view(view.clone());
        }
    }

    /// The view by that catalogue.
    pub(crate) fn view_of_lookups(&self, specs: &[Spec], revision: u64, fields: &str) -> View {
        let at = "{path: /desk, ";
        let text = CATALOGUE.replace(at, &format!("{at}{fields}"));
        let members = self.members.iter().zip(specs);
        let instances = members.map(|(member, spec)| member.instance(spec));
        bound(&text, revision, instances.collect())
    }

    /// Puts a list in force everywhere with these starts of targets, each of which is cold
    /// for so long, under a catalogue in which the desk has these fields as well.
    pub(crate) fn publish_targets<const N: usize>(
        &self,
        specs: &[Spec; N],
        revision: u64,
        fields: &str,
        targets: [(Option<TargetGeneration>, Duration); N],
    ) {
        let at = "    class: standard\n";
        let text = CATALOGUE.replace(at, &format!("{at}{fields}"));
        let members = self.members.iter().zip(specs).zip(targets);
        let instances = members.map(|((member, spec), (target, cold_for))| Instance {
            target,
            cold_for,
            ..member.instance(spec)
        });
        let view = bound(&text, revision, instances.collect());
        for member in &self.members {
            member.shared.set_view(view.clone());
        }
    }

    /// The view by a catalogue that has these lines as well.
    pub(crate) fn view_with(&self, specs: &[Spec], revision: u64, lines: &str) -> View {
        let text = format!("{CATALOGUE}{lines}");
        let members = self.members.iter().zip(specs);
        let instances = members.map(|(member, spec)| member.instance(spec));
        bound(&text, revision, instances.collect())
    }

    /// The view by a list in which the members named leave.
    pub(crate) fn view(&self, specs: &[Spec], revision: u64, leaving: &[&str]) -> View {
        let members = self.members.iter().zip(specs);
        let instances = members.map(|(member, spec)| Instance {
            state: match leaving.contains(&member.id) {
                true => InstanceState::Leaving,
                false => InstanceState::Live,
            },
            ..member.instance(spec)
        });
        bound(CATALOGUE, revision, instances.collect())
    }

    /// Proves from now on, for as long as the test runs, that the list in force
    /// is the newest.
    pub(crate) fn keep_proving(&self) {
        let nodes = self.members.iter().map(|member| Arc::clone(&member.shared));
        let nodes: Vec<Arc<Shared>> = nodes.collect();
        let revision = Revision::new(1).expect("a revision");
        tokio::spawn(async move {
            loop {
                for node in &nodes {
                    node.prove_instances(node.clock().now(), revision);
                }
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        });
    }

    /// How often all targets together ran the request.
    pub(crate) fn runs_of(&self, id: &str) -> usize {
        let runs = self.members.iter().map(|member| member.runs_of(id).len());
        runs.sum()
    }
}

/// A catalogue and a list, bound.
fn bound(catalogue: &str, revision: u64, instances: Vec<Instance>) -> View {
    let revision = Revision::new(revision).expect("a revision");
    let items = catalogue::parse(catalogue).expect("a catalogue");
    let catalogue = Catalogue::new(revision, items).expect("a catalogue");
    let instances = InstanceList::new(revision, instances).expect("a list");
    let snapshot = Snapshot::build(&catalogue, &instances).expect("a snapshot");
    View {
        snapshot: Arc::new(snapshot),
        states: Arc::new(HashMap::new()),
    }
}
