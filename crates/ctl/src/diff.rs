//! `diff OLD NEW`: the differences of two catalogues, by entry and field.

use std::collections::BTreeSet;
use std::fmt;

use sassafrasspool_core::Catalogue;
use sassafrasspool_core::CatalogueItem;
use sassafrasspool_core::Item;
use serde::Serialize;

use self::fields::fields;
use crate::Verdict;
use crate::print::VerbResult;

mod fields;
#[cfg(test)]
mod tests;

/// Every entry that differs between two catalogues.
#[derive(Debug, PartialEq, Serialize)]
pub(crate) struct Difference {
    old: String,
    new: String,
    entries: Vec<EntryChange>,
}

/// One entry that differs.
#[derive(Debug, PartialEq, Serialize)]
struct EntryChange {
    entry: String,
    change: Change,
    fields: Vec<FieldChange>,
}

/// How an entry changed.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
enum Change {
    Added,
    Changed,
    Removed,
}

/// One field that differs; `None` on the side that doesn't have the field.
#[derive(Debug, PartialEq, Serialize)]
struct FieldChange {
    field: String,
    old: Option<String>,
    new: Option<String>,
}

impl Difference {
    /// Compares two catalogues.
    pub(crate) fn between(old: &Catalogue, new: &Catalogue) -> Difference {
        let delta = old.delta_to(new);
        let mut entries = Vec::new();
        for item in &delta.put {
            entries.push(EntryChange::between(old.get(&item.key()), Some(item)));
        }
        for key in &delta.remove {
            entries.push(EntryChange::between(old.get(key), None));
        }
        entries.sort_by(|a, b| a.entry.cmp(&b.entry));
        Difference {
            old: old.version().digest().to_string(),
            new: new.version().digest().to_string(),
            entries,
        }
    }
}

impl VerbResult for Difference {
    fn verdict(&self) -> Verdict {
        Verdict::Yes
    }
}

impl EntryChange {
    fn between(old: Option<&CatalogueItem>, new: Option<&CatalogueItem>) -> EntryChange {
        let change = match (old, new) {
            (None, _) => Change::Added,
            (Some(_), Some(_)) => Change::Changed,
            (Some(_), None) => Change::Removed,
        };
        let key = new.or(old).map(|item| item.key().to_string());
        EntryChange {
            entry: key.unwrap_or_default(),
            change,
            fields: changed_fields(old, new),
        }
    }
}

fn changed_fields(old: Option<&CatalogueItem>, new: Option<&CatalogueItem>) -> Vec<FieldChange> {
    let old = old.map(fields).unwrap_or_default();
    let new = new.map(fields).unwrap_or_default();
    let names: BTreeSet<&String> = old.keys().chain(new.keys()).collect();
    let changes = names.into_iter().map(|name| FieldChange {
        field: name.clone(),
        old: old.get(name).cloned(),
        new: new.get(name).cloned(),
    });
    changes.filter(|change| change.old != change.new).collect()
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.entries.is_empty() {
            return writeln!(f, "no difference, digest {}", self.new);
        }
        for entry in &self.entries {
            write!(f, "{entry}")?;
        }
        writeln!(f, "digest {} -> {}", self.old, self.new)
    }
}

impl fmt::Display for EntryChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mark = match self.change {
            Change::Added => '+',
            Change::Changed => '~',
            Change::Removed => '-',
        };
        writeln!(f, "{mark} {}", self.entry)?;
        for field in &self.fields {
            writeln!(f, "    {field}")?;
        }
        Ok(())
    }
}

impl fmt::Display for FieldChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (&self.old, &self.new) {
            (Some(old), Some(new)) => write!(f, "{}: {old} -> {new}", self.field),
            (None, Some(new)) => write!(f, "{}: {new}", self.field),
            (Some(old), None) => write!(f, "{}: was {old}", self.field),
            (None, None) => Ok(()),
        }
    }
}
