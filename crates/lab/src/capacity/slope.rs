//! A least-squares line through measured points, with the 95% confidence interval of its slope.

use serde::Serialize;
use statrs::distribution::{ContinuousCDF, StudentsT};

/// Probability that a slope's interval holds the true slope.
const CONFIDENCE: f64 = 0.95;
/// A line explains at least this part of the variance, and no point is off by more than this part of the range.
const LINEAR_R2: f64 = 0.95;
const LINEAR_RESIDUAL: f64 = 0.15;
/// Values that differ by less than this part of their mean are one value.
const FLAT_SPREAD: f64 = 0.15;

/// What the points look like.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Shape {
    /// The cost does not depend on the size.
    Flat,
    /// A line fits, and its slope's interval excludes zero.
    Linear,
    /// The interval holds zero, and the values differ: these points show no dependence, and exclude none.
    NoSlope,
    /// The interval excludes zero, and a line does not fit.
    NotLinear,
}

/// A line through points.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Fit {
    pub slope: f64,
    /// The 95% confidence interval of the slope.
    pub low: f64,
    pub high: f64,
    pub intercept: f64,
    pub r2: f64,
    /// The point that is off by most, as a part of the range of values.
    pub largest_residual: f64,
    pub shape: Shape,
    /// Whether the shape is a line that is not flat.
    pub linear: bool,
}

impl Fit {
    /// None with fewer than three points, or all at one size.
    pub fn through(points: &[(f64, f64)]) -> Option<Self> {
        let count = points.len() as f64;
        if points.len() < 3 {
            return None;
        }
        let mean = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / count;
        let (mean_x, mean_y) = (mean(|p| p.0), mean(|p| p.1));
        let spread_x: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
        let spread_y: f64 = points.iter().map(|p| (p.1 - mean_y).powi(2)).sum();
        if spread_x <= 0.0 {
            return None;
        }
        let slope = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum::<f64>() / spread_x;
        let intercept = mean_y - slope * mean_x;
        let residual = |p: &(f64, f64)| p.1 - intercept - slope * p.0;
        let unexplained: f64 = points.iter().map(|p| residual(p).powi(2)).sum();
        let freedom = count - 2.0;
        let error = (unexplained / freedom / spread_x).sqrt();
        let quantile = StudentsT::new(0.0, 1.0, freedom).ok()?.inverse_cdf((1.0 + CONFIDENCE) / 2.0);
        let range = range(points.iter().map(|p| p.1));
        let largest = points.iter().map(|p| residual(p).abs()).fold(0.0, f64::max);
        let mut fit = Self {
            slope,
            low: slope - quantile * error,
            high: slope + quantile * error,
            intercept,
            r2: if spread_y > 0.0 { 1.0 - unexplained / spread_y } else { 1.0 },
            largest_residual: if range > 0.0 { largest / range } else { 0.0 },
            shape: Shape::NotLinear,
            linear: false,
        };
        fit.shape = fit.looks_like(range, mean_y);
        fit.linear = fit.shape == Shape::Linear;
        Some(fit)
    }

    fn looks_like(&self, range: f64, mean: f64) -> Shape {
        let holds_zero = self.low <= 0.0 && self.high >= 0.0;
        let fits = self.r2 >= LINEAR_R2 && self.largest_residual <= LINEAR_RESIDUAL;
        match () {
            () if range <= FLAT_SPREAD * mean.abs() => Shape::Flat,
            () if holds_zero => Shape::NoSlope,
            () if fits => Shape::Linear,
            () => Shape::NotLinear,
        }
    }
}

fn range(values: impl Iterator<Item = f64> + Clone) -> f64 {
    let highest = values.clone().fold(f64::NEG_INFINITY, f64::max);
    highest - values.fold(f64::INFINITY, f64::min)
}

#[cfg(test)]
mod tests;
