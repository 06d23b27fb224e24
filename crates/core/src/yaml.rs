//! Reading YAML so that every fault is told at once, each with its place.
//!
//! A derived reader stops at its first fault. Operators who fix a catalogue
//! or settings file want the whole list, so the text is first read into a
//! [`Tree`] by the YAML library and then taken apart by [`Table`], which
//! notes what is missing, unknown or out of range and goes on.

pub use self::table::Table;
pub use self::tree::Field;
pub use self::tree::Scalar;
pub use self::tree::Tree;

use crate::Faults;
use crate::Place;

mod table;
#[cfg(test)]
mod tests;
mod tree;

/// Reads a text into a tree.
///
/// # Errors
///
/// Fails with the one fault at which the text stops being YAML: a key that
/// stands twice is such a fault.
pub fn parse(text: &str) -> Result<Tree, Faults> {
    let read = serde_saphyr::from_str::<serde_saphyr::Spanned<Tree>>(text);
    read.map(|spanned| spanned.value).map_err(|err| {
        let place = err.location().map(|at| place_of(&at));
        let mut faults = Faults::new();
        faults.add_at(place, "", "", err.without_snippet().to_string());
        faults
    })
}

fn place_of(at: &serde_saphyr::Location) -> Place {
    Place {
        line: usize::try_from(at.line()).unwrap_or(usize::MAX),
        column: usize::try_from(at.column()).unwrap_or(usize::MAX),
    }
}
