//! Counts of request outcomes. Other programs read the keys of the JSON form.

/// Outcomes of all requests of a simulation.
#[derive(Clone, Debug, Default, serde::Serialize)]
pub struct RequestCounts {
    /// Number of requests that clients created.
    #[serde(rename = "txns")]
    pub requests: u64,
    /// Requests answered with a result (status 200).
    #[serde(rename = "settled")]
    pub succeeded: u64,
    /// Requests rejected with status 503, which promises that a retry is safe.
    #[serde(rename = "declined")]
    pub rejected: u64,
    /// Requests answered with any other status; of these only 429 gives this promise.
    #[serde(rename = "reversed")]
    pub failed: u64,
    /// Requests ended by a disconnect of the client.
    #[serde(rename = "left")]
    pub disconnected: u64,
    /// Requests that ended without a response, either because no rule required one or with a
    /// reported violation.
    #[serde(rename = "excused")]
    pub exempted: u64,
    /// Number of attempts that reached a worker.
    #[serde(rename = "postings")]
    pub attempts: u64,
    /// Requests answered with a result by the deadline plus [`SLACK`](super::SLACK).
    pub in_time: u64,
    /// Worker processes that got more than N + 2 * sqrt(N) + 2 requests of mean work within the
    /// overload window while warming up, at least two thirds of the work from dispatchers that had
    /// been notified of the start. N is the number that the rules allow. The operators defined this
    /// measure; [`Rule::SlowStart`](super::Rule::SlowStart) has its own limit of 1.1 * N.
    #[serde(rename = "fell_by_root")]
    pub overloaded_workers: u64,
    /// Counts by class, in the order of the scenario.
    pub classes: Vec<ClassCounts>,
}

/// Outcomes of the requests of one class.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize)]
pub struct ClassCounts {
    /// Number of requests that clients created.
    pub requests: u64,
    /// Requests answered with a result by the deadline plus [`SLACK`](super::SLACK).
    pub in_time: u64,
}
