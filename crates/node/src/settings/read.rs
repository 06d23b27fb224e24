//! Parses the text of the settings and collects all of its faults.

use std::net::SocketAddr;
use std::ops::RangeInclusive;

use sassafrasspool_core::DomainName;
use sassafrasspool_core::Faults;
use sassafrasspool_core::InstanceId;
use sassafrasspool_core::Place;
use sassafrasspool_core::RegionName;
use sassafrasspool_core::ServiceName;
use sassafrasspool_core::yaml;
use sassafrasspool_core::yaml::Scalar;
use sassafrasspool_core::yaml::Table;
use sassafrasspool_core::yaml::Tree;

use super::ControlSettings;
use super::DrainSettings;
use super::LinkSettings;
use super::Listen;
use super::LogSettings;
use super::PlatformSettings;
use super::Settings;
use super::SpreadSettings;
use super::TargetSettings;
use super::repeat;
use super::value::addr;

/// The largest settings text, in bytes.
pub(super) const MAX_SETTINGS_BYTES: usize = 64 * 1024;
/// The most names of features, and the longest one in bytes.
const MAX_FEATURES: usize = 64;
const MAX_FEATURE_BYTES: usize = 64;
/// The most seed addresses.
const MAX_SEEDS: usize = 64;
/// Allowed numbers of traffic threads.
const TRAFFIC_THREADS: RangeInclusive<u64> = 1..=64;
/// The default number of traffic threads.
const DEFAULT_TRAFFIC_THREADS: u64 = 2;

const DOCUMENT_START: Place = Place { line: 1, column: 1 };

/// Parses settings from their text.
pub(super) fn read(text: &str) -> Result<Settings, Faults> {
    let mut faults = Faults::new();
    if text.len() > MAX_SETTINGS_BYTES {
        let reason = format!("has {} bytes, at most {MAX_SETTINGS_BYTES}", text.len());
        faults.add("settings", "", reason);
        return Err(faults);
    }
    let tree = yaml::parse(text)?;
    let top = Table::open("", &tree, DOCUMENT_START, &mut faults);
    match top.and_then(|top| read_top(top, &mut faults)) {
        Some(settings) => faults.into_result(settings),
        // A section that returned `None` has added its faults.
        None => Err(faults),
    }
}

fn read_top(mut top: Table<'_>, faults: &mut Faults) -> Option<Settings> {
    let instance = top.text("instance", faults, InstanceId::new);
    let service = top.text("service", faults, ServiceName::new);
    let region = top.text("region", faults, RegionName::new);
    let domain = top.text("domain", faults, DomainName::new);
    let listen = required(&mut top, "listen", faults, Listen::read);
    let target = required(&mut top, "target", faults, TargetSettings::read);
    let platform = required(&mut top, "platform", faults, PlatformSettings::read);
    let seeds = read_seeds(&mut top, faults);
    let control = or_default(&mut top, "control", faults, ControlSettings::read);
    let spread = or_default(&mut top, "spread", faults, SpreadSettings::read);
    let threads = top.number_or(
        "traffic_threads",
        TRAFFIC_THREADS,
        DEFAULT_TRAFFIC_THREADS,
        faults,
    );
    let repeat = or_default(&mut top, "repeat", faults, repeat::read);
    let log = or_default(&mut top, "log", faults, LogSettings::read);
    let drain = or_default(&mut top, "drain", faults, DrainSettings::read);
    let link = or_default(&mut top, "link", faults, LinkSettings::read);
    let features = read_features(&mut top, faults);
    top.finish(faults);
    let platform = platform?;
    Some(Settings {
        instance: instance?,
        service: service?,
        region: region?,
        domain: domain?,
        listen: listen?,
        target: target?,
        platform,
        seeds,
        control: control?,
        spread: spread?.with_platform(&platform),
        traffic_threads: usize::try_from(threads?).ok()?,
        repeat: repeat?,
        log: log?,
        drain: drain?,
        link: link?,
        features,
    })
}

/// Reads a required section.
fn required<T>(
    top: &mut Table<'_>,
    key: &str,
    faults: &mut Faults,
    read: impl FnOnce(Table<'_>, &mut Faults) -> Option<T>,
) -> Option<T> {
    let table = top.required_table(key, faults)?;
    read(table, faults)
}

/// Reads an optional section; a missing one has default values.
fn or_default<T: Default>(
    top: &mut Table<'_>,
    key: &str,
    faults: &mut Faults,
    read: impl FnOnce(Table<'_>, &mut Faults) -> Option<T>,
) -> Option<T> {
    match top.table(key, faults) {
        Some(table) => read(table, faults),
        None => Some(T::default()),
    }
}

fn read_features(top: &mut Table<'_>, faults: &mut Faults) -> Vec<String> {
    let list = top.list("features", faults);
    if list.len() > MAX_FEATURES {
        let reason = format!("has {} entries, at most {MAX_FEATURES}", list.len());
        faults.add_at(Some(top.place()), "", "features", reason);
    }
    let mut features = Vec::new();
    for (i, placed) in list.iter().enumerate() {
        let read = match &placed.tree {
            Tree::Scalar(Scalar::Text(text)) if text.len() <= MAX_FEATURE_BYTES => Ok(text),
            Tree::Scalar(Scalar::Text(_)) => {
                Err(format!("must have at most {MAX_FEATURE_BYTES} bytes"))
            }
            other => Err(format!("must be text, is {}", other.describe())),
        };
        match read {
            Ok(name) => features.push(name.clone()),
            Err(reason) => {
                faults.add_at(Some(placed.place), "", &format!("features[{i}]"), reason);
            }
        }
    }
    features
}

fn read_seeds(top: &mut Table<'_>, faults: &mut Faults) -> Vec<SocketAddr> {
    let list = top.list("seeds", faults);
    if list.len() > MAX_SEEDS {
        let reason = format!("has {} entries, at most {MAX_SEEDS}", list.len());
        faults.add_at(Some(top.place()), "", "seeds", reason);
    }
    let mut seeds = Vec::new();
    for (i, placed) in list.iter().enumerate() {
        let read = match &placed.tree {
            Tree::Scalar(Scalar::Text(text)) => addr(text),
            other => Err(format!("must be text, is {}", other.describe())),
        };
        match read {
            Ok(seed) => seeds.push(seed),
            Err(reason) => faults.add_at(Some(placed.place), "", &format!("seeds[{i}]"), reason),
        }
    }
    seeds
}
