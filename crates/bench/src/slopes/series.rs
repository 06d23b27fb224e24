//! Series of a figure along an axis.

use serde::Serialize;

use super::Axis;
use crate::fit::Fit;
use crate::fit::Point;

#[cfg(test)]
mod tests;

/// The variable in which a figure is linear.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Form {
    /// The size that is varied.
    Linear,
    /// The inverse of the size, for a fixed amount that is divided by it.
    Inverse,
}

impl Form {
    fn variable(self, x: f64) -> f64 {
        match self {
            Form::Linear => x,
            Form::Inverse => 1.0 / x,
        }
    }
}

/// A figure that was measured at one size.
#[derive(Debug, Clone, Copy)]
pub(super) struct Figure {
    pub(super) name: &'static str,
    pub(super) form: Form,
    pub(super) value: f64,
}

/// A figure along an axis, with the line fitted to its points.
#[derive(Debug, Clone, Serialize)]
pub struct Series {
    /// Name of the axis.
    pub axis: &'static str,
    /// Name of the figure, with its unit.
    pub figure: &'static str,
    /// The variable in which the line is fitted.
    pub form: Form,
    /// The measured points.
    pub points: Vec<Point>,
    /// The line, if the points differ in size.
    pub fit: Option<Fit>,
    /// The size for which the system is designed.
    pub target: f64,
    /// The line's value at `target`.
    pub at_target: Option<f64>,
    /// Twice the standard error of `at_target`, from the scatter of the points.
    pub at_target_spread: Option<f64>,
}

impl Series {
    pub(super) fn new(axis: Axis, figure: Figure, points: Vec<Point>) -> Series {
        let form = figure.form;
        let fitted = points.iter().map(|p| Point {
            x: form.variable(p.x),
            y: p.y,
        });
        let fit = Fit::through(&fitted.collect::<Vec<Point>>());
        let target = axis.design_size();
        let fitted_target = form.variable(target);
        Series {
            axis: axis.as_str(),
            figure: figure.name,
            form,
            points,
            fit,
            target,
            at_target: fit.map(|fit| fit.at(fitted_target)),
            at_target_spread: fit.map(|fit| fit.margin_at(fitted_target)),
        }
    }
}
