//! An exponential moving average.

/// Average of a measured quantity; the first sample replaces the initial expectation.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct MovingAverage {
    value: f64,
    weight: f64,
    samples: u32,
}

impl MovingAverage {
    /// Starts with an expectation; each later sample counts with `weight`, from 0 to 1.
    pub(crate) fn new(expected: f64, weight: f64) -> Self {
        Self { value: expected, weight, samples: 0 }
    }

    /// Adds a sample. Early samples weigh more, as in a plain mean.
    pub(crate) fn add(&mut self, sample: f64) {
        self.samples = self.samples.saturating_add(1);
        let weight = self.weight.max(1.0 / f64::from(self.samples));
        self.value += weight * (sample - self.value);
    }

    /// The average.
    pub(crate) fn value(&self) -> f64 {
        self.value
    }

    /// Number of samples.
    pub(crate) fn samples(&self) -> u32 {
        self.samples
    }
}
