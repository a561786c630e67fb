//! The decisions of rosewall. One [`Dispatcher`] serves one submitter and shares no state with
//! others.
//!
//! Call [`Dispatcher::start`] once, then [`Dispatcher::handle`] for each event in the order of
//! arrival. The decisions are deterministic: the same calls always return the same actions. Times
//! are nanoseconds on the caller's clock. Events and actions are defined in [`crate::types`]; the
//! settings are described in `docs/design.md`.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `lifecycle` | state transitions of a request after each outcome of an attempt |
//! | `diffeqal` | division of the work into size intervals, one for each worker |
//! | `worker_selection` | selection of the worker for a request |
//! | `admission` | rejection of requests under overload |
//! | `outlier` | outlier detection by failure scores |
//! | `subset` | selection of the workers that this dispatcher uses |
//! | `slow_start` | limits on the work sent to warming workers |
//! | `peer_load` | exchange of load reports between dispatchers |
//! | `load_report` | load of the workers, from their reports and from attempts in flight |
//! | `attempts` | sending of attempts, and estimates updated from their results |
//! | `send_deadline` | time by which an attempt must be sent |
//! | `endpoint_list` | polling and application of the endpoint list |
mod admission;
mod attempts;
mod diffeqal;
mod dispatcher;
mod endpoint_list;
mod lifecycle;
mod load_report;
mod outlier;
mod peer_load;
mod send_deadline;
mod slow_start;
mod subset;
mod worker_selection;

pub use dispatcher::Dispatcher;
pub use endpoint_list::poll_backoff;

#[cfg(test)]
pub(crate) mod test_support;
