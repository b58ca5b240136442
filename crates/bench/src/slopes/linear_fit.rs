//! Least-squares line through measured points.

/// A line `base + slope * x`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LinearFit {
    /// Value at `x` = 0.
    pub base: f64,
    /// Increase of the value per unit of `x`.
    pub slope: f64,
}

impl LinearFit {
    /// Fits a line to points `(x, y)`; `None` without at least two different `x`.
    pub fn through(points: &[(f64, f64)]) -> Option<Self> {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|point| point.0).sum::<f64>() / count;
        let mean_y = points.iter().map(|point| point.1).sum::<f64>() / count;
        let spread: f64 = points.iter().map(|point| (point.0 - mean_x).powi(2)).sum();
        if points.len() < 2 || spread == 0.0 {
            return None;
        }
        let covariance: f64 = points
            .iter()
            .map(|point| (point.0 - mean_x) * (point.1 - mean_y))
            .sum();
        let slope = covariance / spread;
        Some(Self {
            base: mean_y - slope * mean_x,
            slope,
        })
    }
}
