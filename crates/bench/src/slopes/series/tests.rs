use super::Figure;
use super::Form;
use super::Series;
use crate::fit::Point;
use crate::slopes::Axis;

/// Guards against a line in the size that falls below zero at the design size.
#[test]
fn a_shared_cost_is_fitted_over_the_inverse() {
    let nodes = [25.0, 50.0, 100.0, 200.0];
    let points = nodes.map(|x| Point {
        x,
        y: 1_500.0 + 1_444_752.0 / x,
    });
    let figure = Figure {
        name: "bytes",
        form: Form::Inverse,
        value: 0.0,
    };
    let series = Series::new(Axis::Nodes, figure, points.to_vec());
    let at_target = series.at_target.unwrap();
    assert!((at_target - 1_852.4).abs() < 0.1, "{series:?}");
    let row = crate::slopes::table::render(&[series]);
    assert!(row.contains("by 1/x") && row.contains("1852"), "{row}");
}
