//! Renders faults as text, each with the lines of the catalogue that it
//! concerns.

use std::error;
use std::fmt;
use std::path::Path;
use std::sync::Arc;

use miette::Diagnostic;
use miette::GraphicalReportHandler;
use miette::NamedSource;
use miette::SourceOffset;
use miette::SourceSpan;
use sassafrasspool_core::Fault;
use sassafrasspool_core::Faults;
use sassafrasspool_core::Place;

/// A fault with the text in which it was found.
#[derive(Debug, Diagnostic)]
struct FaultReport {
    message: String,
    #[source_code]
    source: NamedSource<Arc<str>>,
    #[label("here")]
    at: Option<SourceSpan>,
}

impl fmt::Display for FaultReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl error::Error for FaultReport {}

/// Renders all faults in order.
pub(crate) fn render(path: &Path, text: &str, faults: &Faults) -> Result<String, fmt::Error> {
    let source = NamedSource::new(path.display().to_string(), Arc::from(text));
    let handler = GraphicalReportHandler::new();
    let mut rendered = String::new();
    for fault in faults.iter() {
        let report = FaultReport {
            message: describe(fault),
            source: source.clone(),
            at: fault.place.map(|place| span(text, place)),
        };
        handler.render_report(&mut rendered, &report)?;
    }
    Ok(rendered)
}

/// Describes the fault without its place, which the snippet shows.
fn describe(fault: &Fault) -> String {
    let without_place = Fault {
        place: None,
        ..fault.clone()
    };
    without_place.to_string()
}

/// The span of the word that begins at `place`.
fn span(text: &str, place: Place) -> SourceSpan {
    let offset = SourceOffset::from_location(text, place.line, place.column);
    let rest = text.get(offset.offset()..).unwrap_or_default();
    let ends = |c: char| c.is_whitespace() || matches!(c, ',' | '}' | ']');
    let length = rest.find(ends).unwrap_or(rest.len());
    SourceSpan::new(offset, length)
}
