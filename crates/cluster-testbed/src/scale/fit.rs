//! Linear fits of measurements: the slope with its confidence interval, and a prediction of the largest size from the
//! others.
use serde::Serialize;

/// A fitted line.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Line {
    /// Value at size 0.
    #[serde(rename = "at_zero")]
    pub intercept: f64,
    /// Change of the value per unit of size.
    pub slope: f64,
    /// Half the width of the 95% confidence interval of the slope.
    #[serde(rename = "within")]
    pub slope_margin: f64,
}

/// Two-sided 95% quantiles of Student's t-distribution, for 1 to 10 degrees of freedom.
const STUDENT_T: [f64; 10] = [
    12.71, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228,
];

/// Returns the same quantile for any degrees of freedom, above 10 as an approximation from above.
fn student_t(degrees_of_freedom: usize) -> f64 {
    let known = STUDENT_T.get(degrees_of_freedom - 1).copied();
    known.unwrap_or(2.0 + 2.3 / degrees_of_freedom as f64)
}

/// Fits a line by least squares; `None` if there are fewer than three points or all have the same size.
pub fn fit_line(points: &[(f64, f64)]) -> Option<Line> {
    if points.len() < 3 {
        return None;
    }
    let count = points.len() as f64;
    let mean_x = points.iter().fold(0.0, |mean, (x, _)| mean + x / count);
    let mean_y = points.iter().fold(0.0, |mean, (_, y)| mean + y / count);
    let spread: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    if spread <= 0.0 {
        return None;
    }
    let products = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y));
    let slope = products.sum::<f64>() / spread;
    let intercept = mean_y - slope * mean_x;
    let residuals = points.iter().map(|(x, y)| y - intercept - slope * x);
    let squares: f64 = residuals.map(|residual| residual.powi(2)).sum();
    let degrees_of_freedom = points.len() - 2;
    let variance = squares / degrees_of_freedom as f64;
    Some(Line {
        intercept,
        slope,
        slope_margin: student_t(degrees_of_freedom) * (variance / spread).sqrt(),
    })
}

/// A prediction for the largest size, which is left out of the fit.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Prediction {
    /// Largest size.
    pub size: f64,
    /// Mean of the values measured at this size.
    pub measured: f64,
    /// Value predicted by the fit of the other sizes.
    pub predicted: f64,
    /// Difference of prediction and measurement, as a fraction of the measurement.
    #[serde(rename = "off")]
    pub relative_error: f64,
}

/// Predicts the value at the largest size from a fit of all other sizes.
pub fn predict_largest(points: &[(f64, f64)]) -> Option<Prediction> {
    let sizes = points.iter().map(|(size, _)| *size);
    let largest = sizes.fold(f64::NEG_INFINITY, f64::max);
    let (of_largest, others): (Vec<_>, Vec<_>) = points
        .iter()
        .copied()
        .partition(|(size, _)| *size == largest);
    let line = fit_line(&others)?;
    let measured = of_largest.iter().map(|(_, value)| value).sum::<f64>() / of_largest.len() as f64;
    let predicted = line.intercept + line.slope * largest;
    Some(Prediction {
        size: largest,
        measured,
        predicted,
        relative_error: (predicted - measured) / measured.abs().max(f64::MIN_POSITIVE),
    })
}
