//! Reads a catalogue file and validates it as a node does.

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

/// Reads the text of a file, at most one byte more than the size limit of a
/// catalogue: enough for validation to reject a larger file.
///
/// # Errors
///
/// Fails if the file can't be read or isn't UTF-8.
pub(crate) fn read_text(path: &Path) -> Result<String, Error> {
    let read_error = |cause: io::Error| {
        Error::new(Step::Parse, format!("{} can't be read", path.display())).with_cause(cause)
    };
    let file = File::open(path).map_err(read_error)?;
    let bound = MAX_CATALOGUE_BYTES as u64 + 1;
    let mut text = String::new();
    file.take(bound)
        .read_to_string(&mut text)
        .map_err(read_error)?;
    Ok(text)
}

/// Validates a catalogue's text by all checks that a node makes before it
/// applies one.
///
/// # Errors
///
/// Returns every fault, with its place where it can be found in the text.
pub(crate) fn validate(text: &str) -> Result<Catalogue, Faults> {
    catalogue::validate(text).map_err(|faults| add_places(text, &faults))
}

/// Adds places to the faults that were found by checks across entries.
fn add_places(text: &str, faults: &Faults) -> Faults {
    let tree = yaml::parse(text).ok();
    let mut found = Faults::new();
    for fault in faults.iter() {
        let by_tree = || find_place(tree.as_ref()?, &fault.entry, &fault.field);
        let place = fault.place.or_else(by_tree);
        found.add_at(place, &fault.entry, &fault.field, &*fault.reason);
    }
    found
}

/// The place of a field of an entry such as `adjuster-desk.routes[2]`; the
/// place of the entry if the field is omitted in the text.
fn find_place(tree: &Tree, entry: &str, field: &str) -> Option<Place> {
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
    let found = fields.iter().find(|it| it.key == field);
    Some(found.map_or(route.place, |it| it.value.place))
}

/// The value of a key of a table.
fn child<'t>(tree: &'t Tree, key: &str) -> Option<&'t Tree> {
    let Tree::Table(fields) = tree else {
        return None;
    };
    let field = fields.iter().find(|field| field.key == key)?;
    Some(&field.value.tree)
}
