//! `check FILE`: whether a catalogue is valid, so that nodes would apply it.

use std::fmt;
use std::path::Path;

use sassafrasspool_core::Catalogue;
use sassafrasspool_core::Error;
use sassafrasspool_core::Fault;
use serde::Serialize;

use crate::Verdict;
use crate::catalogue;
use crate::fault_report;
use crate::print::VerbResult;

/// The result of validating a catalogue file.
#[derive(Debug, Serialize)]
pub(crate) struct CheckResult {
    file: String,
    valid: bool,
    entries: usize,
    digest: Option<String>,
    faults: Vec<FaultInfo>,
    #[serde(skip)]
    rendered: String,
}

/// A fault as it is written in JSON.
#[derive(Debug, Serialize)]
struct FaultInfo {
    line: Option<usize>,
    column: Option<usize>,
    entry: String,
    field: String,
    reason: String,
}

impl CheckResult {
    /// Reads and validates a file.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read.
    pub(crate) fn read_file(path: &Path) -> Result<CheckResult, Error> {
        let text = catalogue::read_text(path)?;
        let file = path.display().to_string();
        match catalogue::validate(&text) {
            Ok(catalogue) => Ok(CheckResult::valid(file, &catalogue)),
            Err(faults) => Ok(CheckResult {
                file,
                valid: false,
                entries: 0,
                digest: None,
                faults: faults.iter().map(FaultInfo::from_fault).collect(),
                rendered: fault_report::render(path, &text, &faults)
                    .unwrap_or_else(|_| faults.to_string()),
            }),
        }
    }

    fn valid(file: String, catalogue: &Catalogue) -> CheckResult {
        CheckResult {
            file,
            valid: true,
            entries: catalogue.len(),
            digest: Some(catalogue.version().digest().to_string()),
            faults: Vec::new(),
            rendered: String::new(),
        }
    }
}

impl VerbResult for CheckResult {
    /// Yes if a node would apply the catalogue.
    fn verdict(&self) -> Verdict {
        if self.valid {
            Verdict::Yes
        } else {
            Verdict::No
        }
    }
}

impl FaultInfo {
    fn from_fault(fault: &Fault) -> FaultInfo {
        FaultInfo {
            line: fault.place.map(|place| place.line),
            column: fault.place.map(|place| place.column),
            entry: fault.entry.clone(),
            field: fault.field.clone(),
            reason: fault.reason.clone(),
        }
    }
}

impl fmt::Display for CheckResult {
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
