//! Report of a run.

use serde::Serialize;

use super::series::Series;
use super::table;

/// All series of a run.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    /// Number of processors of the machine.
    pub processors: usize,
    /// Load average of the machine before and after the run.
    pub load_average: [String; 2],
    /// One series for each figure and axis.
    pub series: Vec<Series>,
}

impl Report {
    /// Renders the series as a table in Markdown.
    pub fn markdown(&self) -> String {
        table::render(&self.series)
    }
}
