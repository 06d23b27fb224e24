//! Reading of a table field by field, which records every fault.

use std::ops::RangeInclusive;

use super::tree::Field;
use super::tree::Placed;
use super::tree::Scalar;
use super::tree::Tree;
use crate::Faults;
use crate::Place;

/// A table that is being read.
///
/// Each method that reads a field removes it; [`Table::finish`] then reports the
/// remaining fields as unknown. A method that finds a fault records it and returns
/// `None`, so that reading continues with the next field.
#[derive(Debug)]
pub struct Table<'t> {
    entry: String,
    place: Place,
    fields: Vec<&'t Field>,
}

impl<'t> Table<'t> {
    /// Starts reading `tree`, which belongs to the entry named `entry`.
    ///
    /// Returns `None` and records a fault if it isn't a table.
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

    /// Removes and returns a field that may be missing.
    pub fn optional(&mut self, key: &str) -> Option<&'t Placed> {
        let at = self.fields.iter().position(|field| field.key == key)?;
        let field = self.fields.remove(at);
        let is_null = matches!(field.value.tree, Tree::Scalar(Scalar::Null));
        (!is_null).then_some(&field.value)
    }

    /// Removes and returns a required field.
    pub fn required(&mut self, key: &str, faults: &mut Faults) -> Option<&'t Placed> {
        let found = self.optional(key);
        if found.is_none() {
            faults.add_at(Some(self.place), &self.entry, key, "is missing");
        }
        found
    }

    /// Removes and returns all remaining fields, for instance of a table whose keys are names.
    pub fn rest(&mut self) -> Vec<&'t Field> {
        std::mem::take(&mut self.fields)
    }

    /// Reads a required text and checks it with `check`.
    pub fn text<T, E: ToString>(
        &mut self,
        key: &str,
        faults: &mut Faults,
        check: impl FnOnce(&str) -> Result<T, E>,
    ) -> Option<T> {
        let placed = self.required(key, faults)?;
        self.check_text(key, placed, faults, check)
    }

    /// Reads a text that may be missing and checks it with `check`.
    pub fn optional_text<T, E: ToString>(
        &mut self,
        key: &str,
        faults: &mut Faults,
        check: impl FnOnce(&str) -> Result<T, E>,
    ) -> Option<T> {
        let placed = self.optional(key)?;
        self.check_text(key, placed, faults, check)
    }

    /// Reads a required whole number within `range`.
    pub fn number(
        &mut self,
        key: &str,
        range: RangeInclusive<u64>,
        faults: &mut Faults,
    ) -> Option<u64> {
        let placed = self.required(key, faults)?;
        self.check_number(key, placed, range, faults)
    }

    /// Reads a whole number within `range` that may be missing.
    pub fn optional_number(
        &mut self,
        key: &str,
        range: RangeInclusive<u64>,
        faults: &mut Faults,
    ) -> Option<u64> {
        let placed = self.optional(key)?;
        self.check_number(key, placed, range, faults)
    }

    /// Reads a whole number within `range`, or returns `default` if it is missing.
    pub fn number_or(
        &mut self,
        key: &str,
        range: RangeInclusive<u64>,
        default: u64,
        faults: &mut Faults,
    ) -> Option<u64> {
        match self.optional(key) {
            Some(placed) => self.check_number(key, placed, range, faults),
            None => Some(default),
        }
    }

    /// Reads a boolean, or returns `default` if it is missing.
    pub fn flag_or(&mut self, key: &str, default: bool, faults: &mut Faults) -> Option<bool> {
        let Some(placed) = self.optional(key) else {
            return Some(default);
        };
        if let Tree::Scalar(Scalar::Bool(value)) = placed.tree {
            return Some(value);
        }
        self.add_type_fault(key, placed, "true or false", faults);
        None
    }

    /// Reads a table that may be missing.
    pub fn table(&mut self, key: &str, faults: &mut Faults) -> Option<Table<'t>> {
        let placed = self.optional(key)?;
        let entry = self.nested_entry(key);
        Table::open(entry, &placed.tree, placed.place, faults)
    }

    /// Reads a required table.
    pub fn required_table(&mut self, key: &str, faults: &mut Faults) -> Option<Table<'t>> {
        let placed = self.required(key, faults)?;
        let entry = self.nested_entry(key);
        Table::open(entry, &placed.tree, placed.place, faults)
    }

    /// Reads a list; a missing list is empty.
    pub fn list(&mut self, key: &str, faults: &mut Faults) -> &'t [Placed] {
        let Some(placed) = self.optional(key) else {
            return &[];
        };
        if let Tree::List(items) = &placed.tree {
            return items;
        }
        self.add_type_fault(key, placed, "a list", faults);
        &[]
    }

    /// Reports each field that was not read as unknown.
    pub fn finish(self, faults: &mut Faults) {
        for field in self.fields {
            faults.add_at(Some(field.place), &self.entry, &field.key, "is unknown");
        }
    }

    fn nested_entry(&self, key: &str) -> String {
        if self.entry.is_empty() {
            return key.to_owned();
        }
        format!("{}.{key}", self.entry)
    }

    fn check_text<T, E: ToString>(
        &self,
        key: &str,
        placed: &Placed,
        faults: &mut Faults,
        check: impl FnOnce(&str) -> Result<T, E>,
    ) -> Option<T> {
        let Tree::Scalar(Scalar::Text(text)) = &placed.tree else {
            self.add_type_fault(key, placed, "text", faults);
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

    fn check_number(
        &self,
        key: &str,
        placed: &Placed,
        range: RangeInclusive<u64>,
        faults: &mut Faults,
    ) -> Option<u64> {
        let Tree::Scalar(Scalar::Unsigned(n)) = placed.tree else {
            self.add_type_fault(key, placed, "a whole number", faults);
            return None;
        };
        if range.contains(&n) {
            return Some(n);
        }
        let reason = format!("must be {} to {}, is {n}", range.start(), range.end());
        faults.add_at(Some(placed.place), &self.entry, key, reason);
        None
    }

    fn add_type_fault(&self, key: &str, placed: &Placed, expected: &str, faults: &mut Faults) {
        let reason = format!("must be {expected}, is {}", placed.tree.describe());
        faults.add_at(Some(placed.place), &self.entry, key, reason);
    }
}
