//! One figure along one axis.

use serde::Serialize;

use super::Axis;
use crate::fit::Fit;
use crate::fit::Point;

/// A figure that was measured at one place.
#[derive(Debug, Clone, Copy)]
pub(super) struct Figure {
    pub(super) name: &'static str,
    pub(super) value: f64,
}

/// A figure along an axis, with the line through its points.
#[derive(Debug, Clone, Serialize)]
pub struct Series {
    /// What was varied.
    pub axis: &'static str,
    /// What was measured, with its unit.
    pub figure: &'static str,
    /// The points.
    pub points: Vec<Point>,
    /// The line, if the points differ.
    pub fit: Option<Fit>,
    /// The size that the system is designed for.
    pub target: f64,
    /// The line's value there.
    pub at_target: Option<f64>,
    /// By how much that may be off, from the spread of the points.
    pub at_target_spread: Option<f64>,
}

impl Series {
    pub(super) fn new(axis: Axis, figure: &'static str, points: Vec<Point>) -> Series {
        let fit = Fit::through(&points);
        let target = axis.target();
        Series {
            axis: axis.as_str(),
            figure,
            points,
            fit,
            target,
            at_target: fit.map(|fit| fit.at(target)),
            at_target_spread: fit.map(|fit| fit.spread_at(target)),
        }
    }
}
