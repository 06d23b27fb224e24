//! YAML parsing that reports every fault at once, each with its place.
//!
//! A derived deserializer stops at its first fault. Operators who fix a catalogue or
//! settings file need the whole list. The YAML library therefore first parses the
//! text into a [`Tree`]. A [`Table`] then reads the tree field by field, records what
//! is missing, unknown or out of range, and continues.

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

/// Parses a text into a tree.
///
/// # Errors
///
/// Fails with the first fault in the syntax of the text. A duplicate key is such a
/// fault.
pub fn parse(text: &str) -> Result<Tree, Faults> {
    let parsed = serde_saphyr::from_str::<serde_saphyr::Spanned<Tree>>(text);
    parsed.map(|spanned| spanned.value).map_err(|err| {
        let place = err.location().map(|at| to_place(&at));
        let mut faults = Faults::new();
        faults.add_at(place, "", "", err.without_snippet().to_string());
        faults
    })
}

fn to_place(at: &serde_saphyr::Location) -> Place {
    Place {
        line: usize::try_from(at.line()).unwrap_or(usize::MAX),
        column: usize::try_from(at.column()).unwrap_or(usize::MAX),
    }
}
