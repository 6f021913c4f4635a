//! A straight line through measurements.

/// The least-squares line through points, with how far the worst point lies off.
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
    /// Growth for each unit.
    pub slope: f64,
    /// Value at zero.
    pub base: f64,
    /// Largest distance of a point from the line, as a share of the largest value.
    pub worst: f64,
    /// How many points.
    pub points: usize,
}

impl LineFit {
    /// Fits a line; with fewer than two different places it is flat.
    pub fn through(places: &[f64], values: &[f64]) -> Self {
        let points = places.len().min(values.len());
        let count = points as f64;
        if points == 0 {
            return Self::default();
        }
        let mean = |list: &[f64]| list.iter().take(points).sum::<f64>() / count;
        let (place_mean, value_mean) = (mean(places), mean(values));
        let pairs = || places.iter().zip(values).take(points);
        let spread: f64 = pairs().map(|(place, _)| (place - place_mean).powi(2)).sum();
        let joint: f64 =
            pairs().map(|(place, value)| (place - place_mean) * (value - value_mean)).sum();
        let slope = if spread > 0.0 { joint / spread } else { 0.0 };
        let base = value_mean - slope * place_mean;
        let largest = values.iter().take(points).fold(0.0_f64, |most, value| most.max(value.abs()));
        let off = pairs().map(|(place, value)| (value - (base + slope * place)).abs());
        let worst = off.fold(0.0_f64, f64::max) / if largest > 0.0 { largest } else { 1.0 };
        Self { slope, base, worst, points }
    }

    /// The line's value at `place`.
    pub fn at(&self, place: f64) -> f64 {
        self.base + self.slope * place
    }
}
