//! Creates dissemination from the node's settings.

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

/// The incarnation of this start of the node, from the wall clock.
pub(super) fn new_incarnation() -> Incarnation {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let ms = since.map_or(0, |since| since.as_millis());
    Incarnation::from_start_millis(u64::try_from(ms).unwrap_or(u64::MAX))
}

/// Creates the dissemination of a node that receives control messages on
/// `control`, with the settings' strategy.
pub(super) fn new_dissemination(
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
        seeds: seeds_without_self(&settings.seeds, control),
    };
    let cfg = settings.spread.config.clone();
    match settings.spread.strategy {
        Strategy::Spread => Box::new(SpreadMachine::new(cfg, local, seed, now)),
        Strategy::Naive => Box::new(NaiveSpread::new(cfg, local, seed, now)),
    }
}

/// The seeds without the node's own address: all nodes may be given the same
/// list.
pub(super) fn seeds_without_self(seeds: &[SocketAddr], control: SocketAddr) -> Vec<SocketAddr> {
    let others = seeds.iter().filter(|seed| **seed != control);
    others.copied().collect()
}
