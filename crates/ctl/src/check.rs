//! `check FILE`: whether every node would apply this catalogue.

use std::fmt;
use std::path::Path;

use sassafrasspool_core::Catalogue;
use sassafrasspool_core::Error;
use sassafrasspool_core::Fault;
use serde::Serialize;

use crate::Verdict;
use crate::catalogue;
use crate::print::Finding;
use crate::report;

/// What was found in a file.
#[derive(Debug, Serialize)]
pub(crate) struct Checked {
    file: String,
    valid: bool,
    entries: usize,
    digest: Option<String>,
    faults: Vec<FoundFault>,
    #[serde(skip)]
    rendered: String,
}

/// One fault for programs.
#[derive(Debug, Serialize)]
struct FoundFault {
    line: Option<usize>,
    column: Option<usize>,
    entry: String,
    field: String,
    reason: String,
}

impl Checked {
    /// Reads and judges a file.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read.
    pub(crate) fn file(path: &Path) -> Result<Checked, Error> {
        let text = catalogue::read_text(path)?;
        let file = path.display().to_string();
        match catalogue::judge(&text) {
            Ok(held) => Ok(Checked::valid(file, &held)),
            Err(faults) => Ok(Checked {
                file,
                valid: false,
                entries: 0,
                digest: None,
                faults: faults.iter().map(FoundFault::of).collect(),
                rendered: report::render(path, &text, &faults)
                    .unwrap_or_else(|_| faults.to_string()),
            }),
        }
    }

    fn valid(file: String, held: &Catalogue) -> Checked {
        Checked {
            file,
            valid: true,
            entries: held.len(),
            digest: Some(held.version().digest().to_string()),
            faults: Vec::new(),
            rendered: String::new(),
        }
    }
}

impl Finding for Checked {
    /// Whether a node would apply it.
    fn verdict(&self) -> Verdict {
        if self.valid {
            Verdict::Yes
        } else {
            Verdict::No
        }
    }
}

impl FoundFault {
    fn of(fault: &Fault) -> FoundFault {
        FoundFault {
            line: fault.place.map(|place| place.line),
            column: fault.place.map(|place| place.column),
            entry: fault.entry.clone(),
            field: fault.field.clone(),
            reason: fault.reason.clone(),
        }
    }
}

impl fmt::Display for Checked {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.rendered)?;
        match &self.digest {
            Some(digest) => {
                let entries = self.entries;
                writeln!(
                    f,
                    "{}: valid, {entries} entries, digest {digest}",
                    self.file
                )
            }
            None => writeln!(f, "{}: refused, {} faults", self.file, self.faults.len()),
        }
    }
}
