//! Taking a table apart, field by field, noting every fault.

use std::ops::RangeInclusive;

use super::tree::Field;
use super::tree::Placed;
use super::tree::Scalar;
use super::tree::Tree;
use crate::Faults;
use crate::Place;

/// A table that is being read.
///
/// Each method that reads a field takes it out; [`Table::finish`] then notes
/// what is left as unknown. A method that finds a fault notes it and returns
/// `None`, so that reading goes on with the next field.
#[derive(Debug)]
pub struct Table<'t> {
    entry: String,
    place: Place,
    fields: Vec<&'t Field>,
}

impl<'t> Table<'t> {
    /// Begins to read `tree`, which belongs to the entry named `entry`.
    ///
    /// Returns `None` and notes a fault if it isn't a table.
    pub fn open(
        entry: impl Into<String>,
        tree: &'t Tree,
        place: Place,
        faults: &mut Faults,
    ) -> Option<Table<'t>> {
        let entry = entry.into();
        let Tree::Table(fields) = tree else {
            let reason = format!("must be a table, is {}", tree.describe());
            faults.add_at(Some(place), &entry, "", reason);
            return None;
        };
        Some(Table {
            entry,
            place,
            fields: fields.iter().collect(),
        })
    }

    /// The name of the entry that is being read.
    pub fn entry(&self) -> &str {
        &self.entry
    }

    /// Where the table begins.
    pub fn place(&self) -> Place {
        self.place
    }

    /// Takes a field that may be missing.
    pub fn optional(&mut self, key: &str) -> Option<&'t Placed> {
        let at = self.fields.iter().position(|field| field.key == key)?;
        let field = self.fields.remove(at);
        let missing = matches!(field.value.tree, Tree::Scalar(Scalar::Null));
        (!missing).then_some(&field.value)
    }

    /// Takes a field that must be there.
    pub fn required(&mut self, key: &str, faults: &mut Faults) -> Option<&'t Placed> {
        let found = self.optional(key);
        if found.is_none() {
            faults.add_at(Some(self.place), &self.entry, key, "is missing");
        }
        found
    }

    /// Takes all fields that are left, as for a table whose keys are names.
    pub fn rest(&mut self) -> Vec<&'t Field> {
        std::mem::take(&mut self.fields)
    }

    /// Takes a required text and checks it by `check`.
    pub fn text<T, E: ToString>(
        &mut self,
        key: &str,
        faults: &mut Faults,
        check: impl FnOnce(&str) -> Result<T, E>,
    ) -> Option<T> {
        let placed = self.required(key, faults)?;
        self.checked_text(key, placed, faults, check)
    }

    /// Takes a text that may be missing and checks it by `check`.
    pub fn optional_text<T, E: ToString>(
        &mut self,
        key: &str,
        faults: &mut Faults,
        check: impl FnOnce(&str) -> Result<T, E>,
    ) -> Option<T> {
        let placed = self.optional(key)?;
        self.checked_text(key, placed, faults, check)
    }

    /// Takes a required whole number within `range`.
    pub fn number(
        &mut self,
        key: &str,
        range: RangeInclusive<u64>,
        faults: &mut Faults,
    ) -> Option<u64> {
        let placed = self.required(key, faults)?;
        self.checked_number(key, placed, range, faults)
    }

    /// Takes a whole number within `range`, or `default` if it is missing.
    pub fn number_or(
        &mut self,
        key: &str,
        range: RangeInclusive<u64>,
        default: u64,
        faults: &mut Faults,
    ) -> Option<u64> {
        match self.optional(key) {
            Some(placed) => self.checked_number(key, placed, range, faults),
            None => Some(default),
        }
    }

    /// Takes a truth value, or `default` if it is missing.
    pub fn flag_or(&mut self, key: &str, default: bool, faults: &mut Faults) -> Option<bool> {
        let Some(placed) = self.optional(key) else {
            return Some(default);
        };
        if let Tree::Scalar(Scalar::Bool(value)) = placed.tree {
            return Some(value);
        }
        self.mismatch(key, placed, "true or false", faults);
        None
    }

    /// Takes a table that may be missing.
    pub fn table(&mut self, key: &str, faults: &mut Faults) -> Option<Table<'t>> {
        let placed = self.optional(key)?;
        let entry = self.nested(key);
        Table::open(entry, &placed.tree, placed.place, faults)
    }

    /// Takes a table that must be there.
    pub fn required_table(&mut self, key: &str, faults: &mut Faults) -> Option<Table<'t>> {
        let placed = self.required(key, faults)?;
        let entry = self.nested(key);
        Table::open(entry, &placed.tree, placed.place, faults)
    }

    /// Takes a list that may be missing; it is then empty.
    pub fn list(&mut self, key: &str, faults: &mut Faults) -> &'t [Placed] {
        let Some(placed) = self.optional(key) else {
            return &[];
        };
        if let Tree::List(items) = &placed.tree {
            return items;
        }
        self.mismatch(key, placed, "a list", faults);
        &[]
    }

    /// Notes each field that nobody took as unknown.
    pub fn finish(self, faults: &mut Faults) {
        for field in self.fields {
            faults.add_at(Some(field.place), &self.entry, &field.key, "is unknown");
        }
    }

    fn nested(&self, key: &str) -> String {
        if self.entry.is_empty() {
            return key.to_owned();
        }
        format!("{}.{key}", self.entry)
    }

    fn checked_text<T, E: ToString>(
        &self,
        key: &str,
        placed: &Placed,
        faults: &mut Faults,
        check: impl FnOnce(&str) -> Result<T, E>,
    ) -> Option<T> {
        let Tree::Scalar(Scalar::Text(text)) = &placed.tree else {
            self.mismatch(key, placed, "text", faults);
            return None;
        };
        match check(text) {
            Ok(value) => Some(value),
            Err(err) => {
                faults.add_at(Some(placed.place), &self.entry, key, err.to_string());
                None
            }
        }
    }

    fn checked_number(
        &self,
        key: &str,
        placed: &Placed,
        range: RangeInclusive<u64>,
        faults: &mut Faults,
    ) -> Option<u64> {
        let Tree::Scalar(Scalar::Unsigned(n)) = placed.tree else {
            self.mismatch(key, placed, "a whole number", faults);
            return None;
        };
        if range.contains(&n) {
            return Some(n);
        }
        let reason = format!("must be {} to {}, is {n}", range.start(), range.end());
        faults.add_at(Some(placed.place), &self.entry, key, reason);
        None
    }

    fn mismatch(&self, key: &str, placed: &Placed, wanted: &str, faults: &mut Faults) {
        let reason = format!("must be {wanted}, is {}", placed.tree.describe());
        faults.add_at(Some(placed.place), &self.entry, key, reason);
    }
}
