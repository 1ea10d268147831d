//! Tests of the linear regression.

use super::fit::Fit;

/// Guards against an inverted slope, an intercept at the mean instead of at size 0,
/// and a largest deviation taken of signed instead of absolute deviations.
#[test]
fn line_and_largest_deviation_follow_from_the_points() {
    let exact = Fit::new(&[(0.0, 7.0), (10.0, 37.0), (100.0, 307.0)]);
    assert!((exact.slope - 3.0).abs() < 1e-9 && (exact.intercept - 7.0).abs() < 1e-9);
    assert!(exact.deviation_max < 1e-9);
    // The middle point is below the line.
    let bent = Fit::new(&[(0.0, 0.0), (1.0, -3.0), (2.0, 0.0)]);
    assert!(bent.slope.abs() < 1e-9 && (bent.intercept + 1.0).abs() < 1e-9);
    assert!((bent.deviation_max - 2.0).abs() < 1e-9);
}
