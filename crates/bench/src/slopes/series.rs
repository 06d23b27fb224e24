//! One figure along one axis.

use serde::Serialize;

use super::Axis;
use crate::fit::Fit;
use crate::fit::Point;

#[cfg(test)]
mod tests;

/// In what a figure is linear.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Form {
    /// In the size that is varied.
    Linear,
    /// In its inverse: a fixed amount that all share.
    Inverse,
}

impl Form {
    fn of(self, x: f64) -> f64 {
        match self {
            Form::Linear => x,
            Form::Inverse => 1.0 / x,
        }
    }
}

/// A figure that was measured at one place.
#[derive(Debug, Clone, Copy)]
pub(super) struct Figure {
    pub(super) name: &'static str,
    pub(super) form: Form,
    pub(super) value: f64,
}

/// A figure along an axis, with the line through its points.
#[derive(Debug, Clone, Serialize)]
pub struct Series {
    /// What was varied.
    pub axis: &'static str,
    /// What was measured, with its unit.
    pub figure: &'static str,
    /// In what the line is drawn.
    pub form: Form,
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
    pub(super) fn new(axis: Axis, figure: Figure, points: Vec<Point>) -> Series {
        let form = figure.form;
        let drawn = points.iter().map(|p| Point {
            x: form.of(p.x),
            y: p.y,
        });
        let fit = Fit::through(&drawn.collect::<Vec<Point>>());
        let target = axis.target();
        let drawn_target = form.of(target);
        Series {
            axis: axis.as_str(),
            figure: figure.name,
            form,
            points,
            fit,
            target,
            at_target: fit.map(|fit| fit.at(drawn_target)),
            at_target_spread: fit.map(|fit| fit.spread_at(drawn_target)),
        }
    }
}
