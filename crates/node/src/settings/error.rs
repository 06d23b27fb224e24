//! The error of invalid settings, which shows each fault at its place in the file.

use std::error;
use std::fmt;

use miette::Diagnostic;
use miette::LabeledSpan;
use miette::NamedSource;
use miette::SourceCode;
use miette::SourceOffset;
use sassafrasspool_core::Fault;
use sassafrasspool_core::Faults;

/// Invalid settings with all of their faults.
#[derive(Debug)]
pub struct SettingsError {
    file: String,
    source: Option<NamedSource<String>>,
    faults: Faults,
}

impl SettingsError {
    /// Faults in `text`, which was read from `file`.
    pub fn new(file: &str, text: &str, faults: Faults) -> SettingsError {
        let source = NamedSource::new(file, text.to_owned()).with_language("YAML");
        SettingsError {
            file: file.to_owned(),
            source: Some(source),
            faults,
        }
    }

    /// A file that couldn't be read.
    pub(super) fn unreadable(file: &str, reason: &str) -> SettingsError {
        let mut faults = Faults::new();
        faults.add("", "", reason);
        SettingsError {
            file: file.to_owned(),
            source: None,
            faults,
        }
    }

    /// The faults, in the order in which the sections were read.
    pub fn faults(&self) -> &Faults {
        &self.faults
    }

    fn label(&self, text: &str, fault: &Fault) -> Option<LabeledSpan> {
        let place = fault.place?;
        let at = SourceOffset::from_location(text, place.line, place.column);
        let mut without_place = fault.clone();
        without_place.place = None;
        Some(LabeledSpan::new(
            Some(without_place.to_string()),
            at.offset(),
            1,
        ))
    }
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "settings {} are refused", self.file)?;
        for fault in self.faults.iter() {
            write!(f, "\n{fault}")?;
        }
        Ok(())
    }
}

impl error::Error for SettingsError {}

impl Diagnostic for SettingsError {
    fn source_code(&self) -> Option<&dyn SourceCode> {
        self.source.as_ref().map(|source| source as &dyn SourceCode)
    }

    fn labels(&self) -> Option<Box<dyn Iterator<Item = LabeledSpan> + '_>> {
        let text = self.source.as_ref()?.inner();
        let labels = self.faults.iter();
        Some(Box::new(labels.filter_map(|f| self.label(text, f))))
    }
}
