//! One health check: encodes its request and reads the answer with the worker's load report.
use crate::http::{CompleteResponse, MAX_BODY_BYTES, ResponseReader};
use crate::wire::target;
use rosewall::types::{Outcome, Report};

/// Information that a health check requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthCheckTarget {
    /// Health without a load report.
    Health,
    /// Health and the load report.
    Load,
}

/// Encodes the request of a health check.
pub fn encode_health_check(host: &str, check: HealthCheckTarget) -> Vec<u8> {
    let target = match check {
        HealthCheckTarget::Health => target::HEALTH,
        HealthCheckTarget::Load => target::LOAD,
    };
    format!("GET {target} HTTP/1.1\r\nHost: {host}\r\n\r\n").into_bytes()
}

/// Result of a health check.
#[derive(Debug)]
pub struct HealthCheckResult {
    /// Outcome according to the status of the answer; `ConnectionLost` if the answer is malformed.
    pub outcome: Outcome,
    /// Load report; empty if the worker sent none or an incomplete one.
    pub report: Report,
    /// Whether the connection can be reused.
    pub reusable: bool,
}

/// Reader for the answer to a health check, regardless of how its bytes are split.
pub struct HealthCheckReader<'a> {
    report_fields: &'a [String],
    response: ResponseReader,
}

impl<'a> HealthCheckReader<'a> {
    /// Creates a reader for one answer. `report_fields` are the names of the values in a report, in
    /// the order of [`Report::values`].
    pub fn new(report_fields: &'a [String]) -> Self {
        HealthCheckReader {
            report_fields,
            response: ResponseReader::default(),
        }
    }

    /// Appends received bytes. Returns the result once the answer is complete or malformed.
    pub fn feed(&mut self, bytes: &[u8]) -> Option<HealthCheckResult> {
        let Ok(complete) = self.response.feed(bytes, MAX_BODY_BYTES) else {
            return Some(HealthCheckResult {
                outcome: Outcome::ConnectionLost,
                report: Report::default(),
                reusable: false,
            });
        };
        let CompleteResponse { body, reusable } = complete?;
        let outcome = match self.response.status() {
            Some(200) => Outcome::Succeeded,
            Some(503) => Outcome::AtCapacity,
            _ => Outcome::WorkerError,
        };
        Some(HealthCheckResult {
            outcome,
            report: parse_report(&body, self.report_fields),
            reusable,
        })
    }
}

/// Parses `name=value` pairs. A report without one of the fields counts as empty.
fn parse_report(text: &[u8], fields: &[String]) -> Report {
    let text = String::from_utf8_lossy(text);
    let mut report = Report::default();
    for (value, field) in report.values.iter_mut().zip(fields) {
        let Some(reported) = field_value(&text, field).filter(|value| value.is_finite()) else {
            return Report::default();
        };
        *value = reported;
        report.count += 1;
    }
    report
}

fn field_value(text: &str, field: &str) -> Option<f32> {
    text.split([',', '\n'])
        .filter_map(|pair| pair.trim().split_once('='))
        .find(|(name, _)| name.trim() == field)
        .and_then(|(_, value)| value.trim().parse().ok())
}
