//! A node with its picker.

use std::collections::HashMap;
use std::sync::Arc;

use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::AttemptOutcome;
use crate::Catalogue;
use crate::DomainName;
use crate::EndpointKey;
use crate::Homes;
use crate::Instance;
use crate::InstanceId;
use crate::InstanceList;
use crate::Intake;
use crate::Locality;
use crate::Meters;
use crate::Picked;
use crate::Picker;
use crate::Reason;
use crate::RegionName;
use crate::Revision;
use crate::RouteSettings;
use crate::ServiceKey;
use crate::ServiceName;
use crate::Snapshot;
use crate::Tick;
use crate::catalogue;
use crate::testing::instance;

pub(super) const NOW: Tick = Tick::from_millis(60_000);
pub(super) const SERVICE: &str = "adjuster-desk";
const NEAR: &str = "khan-uul";
const FAR: &str = "sukhbaatar";
const CATALOGUE: &str = "
services:
  adjuster-desk:
    owner: claims-review
    class: critical
    limits: {rate_per_s: 100, concurrency: 10, deadline_ms: 1000}
";

/// A node with its picker over some instances.
pub(super) struct Fixture {
    pub(super) snapshot: Snapshot,
    pub(super) service: ServiceKey,
    /// The regions in which its requests may be served.
    pub(super) homes: Homes,
    pub(super) meters: Arc<Meters>,
    pub(super) picker: Picker,
    cfg: RouteSettings,
    pub(super) rng: SmallRng,
}

impl Fixture {
    pub(super) fn new(node: &str, instances: Vec<Instance>) -> Fixture {
        Fixture::with_settings(node, instances, RouteSettings::default())
    }

    pub(super) fn with_settings(
        node: &str,
        instances: Vec<Instance>,
        cfg: RouteSettings,
    ) -> Fixture {
        let snapshot = snapshot(instances);
        let meters = Arc::new(Meters::new());
        let picker = picker(node, &snapshot, &meters, cfg, NOW);
        Fixture {
            service: service(&snapshot),
            homes: Homes::default(),
            snapshot,
            meters,
            picker,
            cfg,
            rng: SmallRng::seed_from_u64(1),
        }
    }

    /// Binds another list to the same meters.
    pub(super) fn rebind(&mut self, node: &str, instances: Vec<Instance>, now: Tick) {
        self.snapshot = snapshot(instances);
        self.service = service(&self.snapshot);
        self.picker = picker(node, &self.snapshot, &self.meters, self.cfg, now);
    }

    pub(super) fn pick(&mut self, now: Tick) -> Picked {
        self.pick_except(now, &[]).unwrap()
    }

    pub(super) fn pick_except(
        &mut self,
        now: Tick,
        avoid: &[EndpointKey],
    ) -> Result<Picked, Reason> {
        let picked = self
            .picker
            .pick(self.service, &self.homes, now, avoid, &mut self.rng);
        picked.map_err(|refusal| refusal.reason())
    }

    pub(super) fn id(&self, endpoint: EndpointKey) -> &InstanceId {
        &self.snapshot.endpoint(endpoint).unwrap().instance.id
    }

    /// How often each endpoint is picked if each pick ends at once.
    pub(super) fn pick_counts(&mut self, now: Tick, picks: usize) -> HashMap<String, usize> {
        let mut counts = HashMap::new();
        for _ in 0..picks {
            let endpoint = self.pick(now).endpoint();
            *counts.entry(self.id(endpoint).to_string()).or_default() += 1;
        }
        counts
    }

    pub(super) fn mark(&self, id: &str, intake: Intake, now: Tick) {
        self.meters
            .set_intake(&InstanceId::new(id).unwrap(), intake, now);
    }

    /// Picks endpoints until `times` picks of the endpoint `id` ended with `outcome`.
    pub(super) fn finish_picks_of(
        &mut self,
        id: &str,
        now: Tick,
        outcome: AttemptOutcome,
        times: usize,
    ) {
        let mut left = times;
        for _ in 0..1_000 * times {
            let picked = self.pick(now);
            if left > 0 && self.id(picked.endpoint()).as_str() == id {
                picked.finish(now, outcome);
                left -= 1;
            }
        }
    }
}

fn snapshot(instances: Vec<Instance>) -> Snapshot {
    let first = Revision::new(1).unwrap();
    let items = catalogue::parse(CATALOGUE).unwrap();
    let held = Catalogue::new(first, items).unwrap();
    let list = InstanceList::new(first, instances).unwrap();
    Snapshot::build(&held, &list).unwrap()
}

fn service(snapshot: &Snapshot) -> ServiceKey {
    let name = ServiceName::new(SERVICE).unwrap();
    snapshot.find_service(&name).unwrap().0
}

fn picker(
    node: &str,
    snapshot: &Snapshot,
    meters: &Arc<Meters>,
    cfg: RouteSettings,
    now: Tick,
) -> Picker {
    let locality = Locality {
        instance: InstanceId::new(node).unwrap(),
        domain: DomainName::new(NEAR).unwrap(),
        region: RegionName::new("ulaanbaatar").unwrap(),
    };
    Picker::build(snapshot, &locality, cfg, meters, now)
}

pub(super) fn near(ids: &[&str]) -> Vec<Instance> {
    ids.iter().map(|id| instance(id, SERVICE, NEAR)).collect()
}

pub(super) fn far(ids: &[&str]) -> Vec<Instance> {
    ids.iter().map(|id| instance(id, SERVICE, FAR)).collect()
}

pub(super) fn elsewhere(id: &str) -> Instance {
    Instance {
        region: RegionName::new("ernakulam").unwrap(),
        ..instance(id, SERVICE, FAR)
    }
}

pub(super) fn fleet_of(near: usize, far: usize) -> Vec<Instance> {
    let n = (0..near).map(|i| instance(&format!("n{i}"), SERVICE, NEAR));
    let f = (0..far).map(|i| instance(&format!("f{i}"), SERVICE, FAR));
    n.chain(f).collect()
}
