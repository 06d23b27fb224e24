//! What a run reports.

use serde::Serialize;

use super::series::Series;
use super::table;

/// All series of a run.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    /// Processors of the machine.
    pub processors: usize,
    /// The machine's load average before and after.
    pub load_average: [String; 2],
    /// The series.
    pub series: Vec<Series>,
}

impl Report {
    /// The series as a table in Markdown.
    pub fn markdown(&self) -> String {
        table::render(&self.series)
    }
}
