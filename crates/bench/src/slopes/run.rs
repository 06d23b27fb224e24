//! Run of the verb `slopes`.

use std::fs;
use std::thread;

use super::Axis;
use super::Report;
use super::measure;
use super::series::Figure;
use super::series::Series;
use crate::fit::Point;

/// Measures the axes one after the other.
///
/// # Errors
///
/// Fails if a measurement fails.
pub fn run(axes: &[Axis], seed: u64) -> miette::Result<Report> {
    let before = load_average();
    let mut series = Vec::new();
    for &axis in axes {
        series.extend(measure_axis(axis, seed)?);
    }
    Ok(Report {
        processors: thread::available_parallelism().map_or(0, usize::from),
        load_average: [before, load_average()],
        series,
    })
}

fn measure_axis(axis: Axis, seed: u64) -> miette::Result<Vec<Series>> {
    let mut last: Vec<Figure> = Vec::new();
    let mut points: Vec<Vec<Point>> = Vec::new();
    for &x in axis.measured_sizes() {
        let figures = measure::figures_at(axis, x, seed)?;
        points.resize_with(figures.len(), Vec::new);
        for (points, figure) in points.iter_mut().zip(&figures) {
            points.push(Point { x, y: figure.value });
        }
        last = figures;
    }
    let series = last.into_iter().zip(points);
    Ok(series
        .map(|(figure, points)| Series::new(axis, figure, points))
        .collect())
}

fn load_average() -> String {
    fs::read_to_string("/proc/loadavg")
        .unwrap_or_default()
        .trim()
        .to_owned()
}
