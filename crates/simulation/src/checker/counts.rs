//! What became of the requests of a simulation. The keys of the JSON form are read by other programs.

/// What became of the requests of a simulation.
#[derive(Clone, Debug, Default, serde::Serialize)]
pub struct RequestCounts {
    /// Requests that clients created.
    #[serde(rename = "txns")]
    pub requests: u64,
    /// Answered with a result.
    #[serde(rename = "settled")]
    pub succeeded: u64,
    /// Answered with the promise that nothing ran.
    #[serde(rename = "declined")]
    pub rejected: u64,
    /// Answered without that promise.
    #[serde(rename = "reversed")]
    pub failed: u64,
    /// Ended by their client.
    #[serde(rename = "left")]
    pub disconnected: u64,
    /// Lost without a violation.
    #[serde(rename = "excused")]
    pub exempted: u64,
    /// Attempts that reached a worker.
    #[serde(rename = "postings")]
    pub attempts: u64,
    /// Answered with a result before the deadline.
    pub in_time: u64,
    /// Warming processes that got more than N + 2 x root of N + 2 requests of mean work within a window, of which over
    /// two thirds came from dispatchers that knew of the start; N is what the rules allow (the operators' measure, beside the checker's own).
    #[serde(rename = "fell_by_root")]
    pub overloaded_workers: u64,
    /// The same by class, in the scenario's order.
    pub classes: Vec<ClassCounts>,
}

/// What became of the requests of one class.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize)]
pub struct ClassCounts {
    /// Requests that clients created.
    pub requests: u64,
    /// Answered with a result before the deadline.
    pub in_time: u64,
}
