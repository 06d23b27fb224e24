use rstest::rstest;

use super::Fit;
use super::Point;

#[derive(Debug)]
struct Case {
    ys: &'static [f64],
    slope: f64,
    intercept: f64,
    r2: f64,
}

#[rstest]
#[case(Case { ys: &[1.0, 3.0, 5.0], slope: 2.0, intercept: 1.0, r2: 1.0 })]
#[case(Case { ys: &[4.0, 4.0, 4.0], slope: 0.0, intercept: 4.0, r2: 1.0 })]
#[case(Case { ys: &[0.0, 3.0, 0.0], slope: 0.0, intercept: 1.0, r2: 0.0 })]
fn a_line_is_fitted_by_least_squares(#[case] case: Case) {
    let points = case.ys.iter().enumerate();
    let points: Vec<Point> = points.map(|(i, &y)| Point { x: i as f64, y }).collect();
    let fit = Fit::through(&points).unwrap();
    assert!((fit.slope - case.slope).abs() < 1e-9, "{fit:?}");
    assert!((fit.intercept - case.intercept).abs() < 1e-9, "{fit:?}");
    assert!((fit.r2 - case.r2).abs() < 1e-9, "{fit:?}");
}

// Guards against an error estimate that ignores the distance from the points.
#[test]
fn the_margin_grows_with_the_distance_from_the_points() {
    let ys = [1.0, 2.5, 2.5, 4.0];
    let points = ys.iter().enumerate();
    let points: Vec<Point> = points.map(|(i, &y)| Point { x: i as f64, y }).collect();
    let fit = Fit::through(&points).unwrap();
    let near = fit.margin_at(fit.mean_x);
    assert!(near > 0.0 && fit.margin_at(0.0) > near, "{fit:?}");
    assert!(fit.margin_at(100.0) > 10.0 * near, "{fit:?}");
}

#[test]
fn points_with_equal_x_have_no_line() {
    let points = [Point { x: 1.0, y: 1.0 }, Point { x: 1.0, y: 2.0 }];
    assert_eq!(Fit::through(&points), None);
}
