//! Linear regression.

/// Line fitted by least squares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Fit {
    /// Increase of the value per unit of size.
    pub(super) slope: f64,
    /// Value at size 0.
    pub(super) intercept: f64,
    /// Largest absolute deviation of a value from the line.
    pub(super) deviation_max: f64,
}

impl Fit {
    /// Fits a line through points of size and value; the sizes must differ.
    pub(super) fn new(points: &[(f64, f64)]) -> Self {
        let count = points.len() as f64;
        let mean = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / count;
        let (mean_x, mean_y) = (mean(|point| point.0), mean(|point| point.1));
        let covariance: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
        let variance: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let slope = covariance / variance;
        let intercept = mean_y - slope * mean_x;
        let deviations = points.iter().map(|(x, y)| (y - intercept - slope * x).abs());
        Self { slope, intercept, deviation_max: deviations.fold(0.0, f64::max) }
    }
}
