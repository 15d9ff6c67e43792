//! Lines through samples by least squares.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::sample::{Axis, Cost, Mechanism, Sample};

/// A line through the samples of one series, and how far it may be trusted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fit {
    /// What was measured.
    pub cost: Cost,
    /// Its unit.
    pub unit: String,
    /// How member state was spread.
    pub mechanism: Mechanism,
    /// Along what.
    pub axis: Axis,
    /// Value at 0.
    pub intercept: f64,
    /// Growth for each one on the axis.
    pub slope: f64,
    /// Standard error of the slope.
    pub slope_error: f64,
    /// Share of the variance that the line explains.
    pub r_squared: f64,
    /// Least place that was measured.
    pub least: f64,
    /// Most.
    pub most: f64,
    /// The place that all series have in common.
    pub center: f64,
    /// Samples.
    pub samples: usize,
}

impl Fit {
    /// The line's value at a place.
    pub fn at(&self, place: f64) -> f64 {
        self.intercept + self.slope * place
    }
}

/// The fits of all series; a series of fewer than three samples, or at one place only, has none.
pub fn fit_all(samples: &[Sample], center: impl Fn(Axis) -> f64) -> Vec<Fit> {
    let mut series: BTreeMap<(Cost, Mechanism, Axis), Vec<(f64, f64)>> = BTreeMap::new();
    for sample in samples {
        let key = (sample.cost, sample.mechanism, sample.axis);
        series.entry(key).or_default().push((sample.at, sample.value));
    }
    let fit = |((cost, mechanism, axis), points): ((Cost, Mechanism, Axis), Vec<(f64, f64)>)| {
        let Line { intercept, slope, slope_error, r_squared } = line(&points)?;
        let places = || points.iter().map(|(x, _)| *x);
        Some(Fit {
            cost,
            unit: cost.unit().into(),
            mechanism,
            axis,
            intercept,
            slope,
            slope_error,
            r_squared,
            least: places().fold(f64::INFINITY, f64::min),
            most: places().fold(f64::NEG_INFINITY, f64::max),
            center: center(axis),
            samples: points.len(),
        })
    };
    series.into_iter().filter_map(fit).collect()
}

struct Line {
    intercept: f64,
    slope: f64,
    slope_error: f64,
    r_squared: f64,
}

fn line(points: &[(f64, f64)]) -> Option<Line> {
    let count = points.len() as f64;
    if points.len() < 3 {
        return None;
    }
    let mean = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / count;
    let (mean_x, mean_y) = (mean(|p| p.0), mean(|p| p.1));
    let sum =
        |of: &dyn Fn(f64, f64) -> f64| points.iter().map(|(x, y)| of(x - mean_x, y - mean_y)).sum::<f64>();
    let (xx, xy, yy) = (sum(&|x, _| x * x), sum(&|x, y| x * y), sum(&|_, y| y * y));
    if xx == 0.0 {
        return None;
    }
    let slope = xy / xx;
    let residual = sum(&|x, y| (y - slope * x).powi(2));
    let r_squared = if yy > 0.0 { 1.0 - residual / yy } else { 1.0 };
    let slope_error = (residual / (count - 2.0) / xx).sqrt();
    Some(Line { intercept: mean_y - slope * mean_x, slope, slope_error, r_squared })
}
