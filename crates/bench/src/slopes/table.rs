//! Markdown table of series for the capacity page.

use std::fmt::Write;

use super::series::Form;
use super::series::Series;

/// Significant digits of a figure.
const SIGNIFICANT_DIGITS: i32 = 3;

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
        .map(|p| format!("{}: {}", format_figure(p.x), format_figure(p.y)))
        .collect();
    let points = points.join(", ");
    let Some(fit) = series.fit else {
        return format!("| {} | {} | {points} | | | |", series.axis, series.figure);
    };
    format!(
        "| {} | {} | {points} | {} ± {}{} | {:.2} | {} ± {} at {} |",
        series.axis,
        series.figure,
        format_figure(fit.slope),
        format_figure(2.0 * fit.slope_error),
        if series.form == Form::Inverse {
            " by 1/x"
        } else {
            ""
        },
        fit.r2,
        format_figure(series.at_target.unwrap_or_default()),
        format_figure(series.at_target_spread.unwrap_or_default()),
        format_figure(series.target),
    )
}

/// Formats a figure with [`SIGNIFICANT_DIGITS`] significant digits.
fn format_figure(value: f64) -> String {
    if value == 0.0 {
        return "0".to_owned();
    }
    let magnitude = value.abs().log10().floor() as i32;
    let places = usize::try_from((SIGNIFICANT_DIGITS - 1 - magnitude).max(0)).unwrap_or(0);
    format!("{value:.places$}")
}
