//! Reading a catalogue's file as a node would judge it.

use std::fs::File;
use std::io;
use std::io::Read;
use std::path::Path;

use sassafrasspool_core::Catalogue;
use sassafrasspool_core::Error;
use sassafrasspool_core::Faults;
use sassafrasspool_core::Place;
use sassafrasspool_core::Step;
use sassafrasspool_core::catalogue;
use sassafrasspool_core::catalogue::MAX_CATALOGUE_BYTES;
use sassafrasspool_core::yaml;
use sassafrasspool_core::yaml::Tree;

/// Reads a file's text, at most one byte more than a catalogue may have.
///
/// # Errors
///
/// Fails if the file can't be read or isn't UTF-8.
pub(crate) fn read_text(path: &Path) -> Result<String, Error> {
    let refused = |cause: io::Error| {
        Error::new(Step::Parse, format!("{} can't be read", path.display())).with_cause(cause)
    };
    let file = File::open(path).map_err(refused)?;
    let bound = MAX_CATALOGUE_BYTES as u64 + 1;
    let mut text = String::new();
    file.take(bound)
        .read_to_string(&mut text)
        .map_err(refused)?;
    Ok(text)
}

/// Judges a text by all that a node checks before it applies it.
///
/// # Errors
///
/// Returns every fault, with its place where the text shows it.
pub(crate) fn judge(text: &str) -> Result<Catalogue, Faults> {
    catalogue::validate(text).map_err(|faults| located(text, &faults))
}

/// Gives places to faults that were found across entries.
fn located(text: &str, faults: &Faults) -> Faults {
    let tree = yaml::parse(text).ok();
    let mut found = Faults::new();
    for fault in faults.iter() {
        let by_tree = || place_of(tree.as_ref()?, &fault.entry, &fault.field);
        let place = fault.place.or_else(by_tree);
        found.add_at(place, &fault.entry, &fault.field, &*fault.reason);
    }
    found
}

/// Where the field of an entry such as `adjuster-desk.routes[2]` stands; the
/// entry's own place if the text doesn't write the field out.
fn place_of(tree: &Tree, entry: &str, field: &str) -> Option<Place> {
    let (service, route) = entry.split_once(".routes[")?;
    let number: usize = route.strip_suffix(']')?.parse().ok()?;
    let services = child(tree, "services")?;
    let routes = child(child(services, service)?, "routes")?;
    let Tree::List(routes) = routes else {
        return None;
    };
    let route = routes.get(number)?;
    let Tree::Table(fields) = &route.tree else {
        return None;
    };
    let written = fields.iter().find(|known| known.key == field);
    Some(written.map_or(route.place, |known| known.value.place))
}

fn child<'t>(tree: &'t Tree, key: &str) -> Option<&'t Tree> {
    let Tree::Table(fields) = tree else {
        return None;
    };
    let field = fields.iter().find(|field| field.key == key)?;
    Some(&field.value.tree)
}
