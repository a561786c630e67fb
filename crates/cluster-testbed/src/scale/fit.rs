//! Straight lines through what was measured: the slope with its interval, and each size predicted from the others.
use serde::Serialize;

#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Line {
    pub at_zero: f64,
    pub slope: f64,
    /// Half of the 95% interval of the slope.
    pub within: f64,
}

/// Two-sided 95% of Student's t by degrees of freedom, 1 to 10; beyond, the normal's with a little more.
const T: [f64; 10] = [
    12.71, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228,
];

/// Least squares; none where there are fewer than three points or all are of one size.
pub fn line(points: &[(f64, f64)]) -> Option<Line> {
    let count = points.len() as f64;
    if points.len() < 3 {
        return None;
    }
    let (x, y) = points.iter().fold((0.0, 0.0), |(x, y), point| {
        (x + point.0 / count, y + point.1 / count)
    });
    let spread: f64 = points.iter().map(|point| (point.0 - x).powi(2)).sum();
    if spread <= 0.0 {
        return None;
    }
    let slope = points
        .iter()
        .map(|point| (point.0 - x) * (point.1 - y))
        .sum::<f64>()
        / spread;
    let at_zero = y - slope * x;
    let left: f64 = points
        .iter()
        .map(|point| (point.1 - at_zero - slope * point.0).powi(2))
        .sum();
    let free = points.len() - 2;
    let t = T.get(free - 1).copied().unwrap_or(2.0 + 2.3 / free as f64);
    Some(Line {
        at_zero,
        slope,
        within: t * (left / free as f64 / spread).sqrt(),
    })
}

/// One size, left out of the fit and predicted by it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Predicted {
    pub size: f64,
    pub measured: f64,
    pub predicted: f64,
    /// How far off that is, as a part of what was measured.
    pub off: f64,
}

/// The largest size, which matters most, predicted from all others.
pub fn predicted(points: &[(f64, f64)]) -> Option<Predicted> {
    let size = points
        .iter()
        .map(|point| point.0)
        .fold(f64::NEG_INFINITY, f64::max);
    let (of, others): (Vec<_>, Vec<_>) = points.iter().copied().partition(|point| point.0 == size);
    let line = line(&others)?;
    let measured = of.iter().map(|point| point.1).sum::<f64>() / of.len() as f64;
    let predicted = line.at_zero + line.slope * size;
    Some(Predicted {
        size,
        measured,
        predicted,
        off: (predicted - measured) / measured.abs().max(f64::MIN_POSITIVE),
    })
}
