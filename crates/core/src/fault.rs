//! Faults of operators' input, collected so that all are reported at once.

use std::error;
use std::fmt;

pub use self::place::Place;

mod place;

/// One fault: its place, the entry and field that it concerns, and the reason.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// Line and column in the text, if the input was a text.
    pub place: Option<Place>,
    /// The entry concerned, such as a service's name; may be empty.
    pub entry: String,
    /// The field of the entry; may be empty.
    pub field: String,
    /// Why the value is rejected.
    pub reason: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(place) = self.place {
            write!(f, "{place}: ")?;
        }
        for part in [&self.entry, &self.field] {
            if !part.is_empty() {
                write!(f, "{part}: ")?;
            }
        }
        f.write_str(&self.reason)
    }
}

/// Every fault found in one input.
///
/// # Invariants
///
/// An `Err(Faults)` holds at least one fault; see [`Faults::into_result`].
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Faults(Vec<Fault>);

impl Faults {
    /// A collection without faults.
    pub fn new() -> Faults {
        Faults::default()
    }

    /// Adds a fault without a place.
    pub fn add(&mut self, entry: &str, field: &str, reason: impl Into<String>) {
        self.add_at(None, entry, field, reason);
    }

    /// Adds a fault with its place, if that is known.
    pub fn add_at(
        &mut self,
        place: Option<Place>,
        entry: &str,
        field: &str,
        reason: impl Into<String>,
    ) {
        self.0.push(Fault {
            place,
            entry: entry.to_owned(),
            field: field.to_owned(),
            reason: reason.into(),
        });
    }

    /// Adds the faults of `other`.
    pub fn extend(&mut self, other: Faults) {
        self.0.extend(other.0);
    }

    /// Whether there is no fault.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The faults in the order in which they were added.
    pub fn iter(&self) -> impl Iterator<Item = &Fault> {
        self.0.iter()
    }

    /// Returns `value` if there is no fault.
    ///
    /// # Errors
    ///
    /// Returns the faults if there are any.
    pub fn into_result<T>(self, value: T) -> Result<T, Faults> {
        // INVARIANT: An error is returned only if a fault was added.
        if self.is_empty() {
            Ok(value)
        } else {
            Err(self)
        }
    }
}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, fault) in self.0.iter().enumerate() {
            if i > 0 {
                f.write_str("\n")?;
            }
            write!(f, "{fault}")?;
        }
        Ok(())
    }
}

impl error::Error for Faults {}
