//! Markdown table of series for the capacity page.

use std::fmt::Write;

use super::series::Form;
use super::series::Series;

/// Significant digits of a figure.
const DIGITS: i32 = 3;

/// Renders a table with one row for each series.
pub(super) fn render(all: &[Series]) -> String {
    let mut text = String::from(
        "| along | figure | measured | slope | r² | at the target |\n|---|---|---|---|---|---|\n",
    );
    for series in all {
        // Writing to a string can't fail.
        let _ = writeln!(text, "{}", row(series));
    }
    text
}

fn row(series: &Series) -> String {
    let points = series.points.iter();
    let points: Vec<String> = points
        .map(|p| format!("{}: {}", short(p.x), short(p.y)))
        .collect();
    let points = points.join(", ");
    let Some(fit) = series.fit else {
        return format!("| {} | {} | {points} | | | |", series.axis, series.figure);
    };
    format!(
        "| {} | {} | {points} | {} ± {}{} | {:.2} | {} ± {} at {} |",
        series.axis,
        series.figure,
        short(fit.slope),
        short(2.0 * fit.slope_error),
        if series.form == Form::Inverse {
            " by 1/x"
        } else {
            ""
        },
        fit.r2,
        short(series.at_target.unwrap_or_default()),
        short(series.at_target_spread.unwrap_or_default()),
        short(series.target),
    )
}

/// Formats a figure with [`DIGITS`] significant digits.
fn short(value: f64) -> String {
    if value == 0.0 {
        return "0".to_owned();
    }
    let magnitude = value.abs().log10().floor() as i32;
    let places = usize::try_from((DIGITS - 1 - magnitude).max(0)).unwrap_or(0);
    format!("{value:.places$}")
}
