//! Linear regression of measured points.

use serde::Serialize;

#[cfg(test)]
mod tests;

/// A measured point.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Point {
    /// The independent variable, such as the number of nodes.
    pub x: f64,
    /// The measured value.
    pub y: f64,
}

/// The least squares line through some points.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Fit {
    /// Increase of `y` per unit of `x`.
    pub slope: f64,
    /// The line's value at `x` = 0.
    pub intercept: f64,
    /// The standard error of the slope; zero for fewer than three points.
    pub slope_error: f64,
    /// The standard error of the line at the points' mean; zero for fewer than
    /// three points.
    pub level_error: f64,
    /// Mean of the points' `x`.
    pub mean_x: f64,
    /// Coefficient of determination, from 0 to 1.
    pub r2: f64,
    /// Largest absolute residual, in units of `y`.
    pub worst: f64,
}

/// Means of points, and sums of squares and products about the means.
#[derive(Debug)]
struct CentredSums {
    mean_x: f64,
    mean_y: f64,
    xx: f64,
    xy: f64,
    yy: f64,
}

impl Fit {
    /// Fits a line; `None` if the points don't differ in `x`.
    ///
    /// # Example
    ///
    /// ```
    /// use sassafrasspool_bench::fit::Fit;
    /// use sassafrasspool_bench::fit::Point;
    ///
    /// let points = [Point { x: 1.0, y: 5.0 }, Point { x: 3.0, y: 9.0 }];
    /// let fit = Fit::through(&points).unwrap();
    /// assert_eq!(fit.at(10.0), 23.0);
    /// ```
    pub fn through(points: &[Point]) -> Option<Fit> {
        let sums = CentredSums::of(points);
        if sums.xx <= 0.0 {
            return None;
        }
        let slope = sums.xy / sums.xx;
        let intercept = sums.mean_y - slope * sums.mean_x;
        let residual = |p: &Point| p.y - (intercept + slope * p.x);
        let squares: f64 = points.iter().map(|p| residual(p).powi(2)).sum();
        Some(Fit {
            slope,
            intercept,
            slope_error: residual_deviation(squares, points.len()) / sums.xx.sqrt(),
            level_error: residual_deviation(squares, points.len()) / (points.len() as f64).sqrt(),
            mean_x: sums.mean_x,
            r2: r_squared(squares, sums.yy),
            worst: points.iter().map(|p| residual(p).abs()).fold(0.0, f64::max),
        })
    }

    /// The line's value at `x`.
    pub fn at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }

    /// Twice the line's standard error at `x`, from the scatter of the points
    /// alone.
    pub fn margin_at(&self, x: f64) -> f64 {
        2.0 * self.level_error.hypot(self.slope_error * (x - self.mean_x))
    }
}

impl CentredSums {
    fn of(points: &[Point]) -> CentredSums {
        let n = points.len().max(1) as f64;
        let mean_x = points.iter().map(|p| p.x).sum::<f64>() / n;
        let mean_y = points.iter().map(|p| p.y).sum::<f64>() / n;
        let sum = |f: &dyn Fn(f64, f64) -> f64| -> f64 {
            points.iter().map(|p| f(p.x - mean_x, p.y - mean_y)).sum()
        };
        CentredSums {
            mean_x,
            mean_y,
            xx: sum(&|dx, _| dx * dx),
            xy: sum(&|dx, dy| dx * dy),
            yy: sum(&|_, dy| dy * dy),
        }
    }
}

/// Standard deviation of the residuals; zero for fewer than three points.
fn residual_deviation(squares: f64, points: usize) -> f64 {
    if points < 3 {
        return 0.0;
    }
    (squares / (points - 2) as f64).sqrt()
}

fn r_squared(squares: f64, yy: f64) -> f64 {
    if yy <= 0.0 {
        return 1.0;
    }
    1.0 - squares / yy
}
