//! Linear regression of measurements.

/// The least-squares line through points, with its largest error.
///
/// ```
/// use wheel_bench::LineFit;
///
/// let fit = LineFit::through(&[1.0, 2.0, 3.0], &[5.0, 7.0, 9.0]);
/// assert!((fit.slope - 2.0).abs() < 1e-9);
/// assert!((fit.at(10.0) - 23.0).abs() < 1e-9);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LineFit {
    /// Growth per unit.
    pub slope: f64,
    /// Value at zero.
    pub intercept: f64,
    /// Largest distance of a point from the line, as a share of the largest value.
    pub max_error: f64,
    /// Number of points.
    pub points: usize,
}

impl LineFit {
    /// Fits a line to the values at the positions; with fewer than two different positions its
    /// slope is 0.
    pub fn through(positions: &[f64], values: &[f64]) -> Self {
        let points = positions.len().min(values.len());
        let count = points as f64;
        if points == 0 {
            return Self::default();
        }
        let mean = |list: &[f64]| list.iter().take(points).sum::<f64>() / count;
        let (position_mean, value_mean) = (mean(positions), mean(values));
        let pairs = || positions.iter().zip(values).take(points);
        let square_sum: f64 = pairs().map(|(position, _)| (position - position_mean).powi(2)).sum();
        let product_sum: f64 = pairs()
            .map(|(position, value)| (position - position_mean) * (value - value_mean))
            .sum();
        let slope = if square_sum > 0.0 { product_sum / square_sum } else { 0.0 };
        let intercept = value_mean - slope * position_mean;
        let largest = values.iter().take(points).fold(0.0_f64, |most, value| most.max(value.abs()));
        let errors =
            pairs().map(|(position, value)| (value - (intercept + slope * position)).abs());
        let max_error = errors.fold(0.0_f64, f64::max) / if largest > 0.0 { largest } else { 1.0 };
        Self { slope, intercept, max_error, points }
    }

    /// The line's value at `position`.
    pub fn at(&self, position: f64) -> f64 {
        self.intercept + self.slope * position
    }
}
