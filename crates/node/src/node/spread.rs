//! The decisions of spreading, made from settings.

use std::net::SocketAddr;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use sassafrasspool_core::Disseminate;
use sassafrasspool_core::Incarnation;
use sassafrasspool_core::LocalNode;
use sassafrasspool_core::NaiveSpread;
use sassafrasspool_core::SpreadMachine;
use sassafrasspool_core::Tick;

use crate::Settings;
use crate::settings::Strategy;

/// This start of the node.
pub(super) fn incarnation() -> Incarnation {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let ms = since.map_or(0, |since| since.as_millis());
    Incarnation::from_start_millis(u64::try_from(ms).unwrap_or(u64::MAX))
}

/// The decisions of a node that takes control messages on `control`.
pub(super) fn decisions(
    settings: &Settings,
    control: SocketAddr,
    incarnation: Incarnation,
    seed: u64,
    now: Tick,
) -> Box<dyn Disseminate> {
    let local = LocalNode {
        id: settings.instance.clone(),
        domain: settings.domain.clone(),
        control,
        incarnation,
        seeds: other_seeds(&settings.seeds, control),
    };
    let cfg = settings.spread.config.clone();
    match settings.spread.strategy {
        Strategy::Spread => Box::new(SpreadMachine::new(cfg, local, seed, now)),
        Strategy::Naive => Box::new(NaiveSpread::new(cfg, local, seed, now)),
    }
}

/// The seeds without the node itself: all nodes may be given one list.
pub(super) fn other_seeds(seeds: &[SocketAddr], control: SocketAddr) -> Vec<SocketAddr> {
    let others = seeds.iter().filter(|seed| **seed != control);
    others.copied().collect()
}
