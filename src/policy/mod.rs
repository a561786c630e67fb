//! Every decision of rosewall. One [`Dispatcher`] serves one submitter and shares nothing with others.
//!
//! Call [`Dispatcher::start`] once, then [`Dispatcher::handle`] for each event in the order of arrival. The same calls
//! always lead to the same actions. Times are nanoseconds on the caller's clock. Events and actions stand in
//! [`crate::types`], the names of the settings in `docs/design.md`.
//!
//! | question | module |
//! | --- | --- |
//! | What may follow each outcome of an attempt? | `lifecycle` |
//! | Which part of the work does each worker serve? | `diffeqal` |
//! | Which worker gets a request? | `worker_selection` |
//! | Which requests are rejected under overload? | `admission` |
//! | When is a worker an outlier? | `outlier` |
//! | Which workers does this dispatcher use? | `subset` |
//! | How much work does a warming worker get? | `slow_start` |
//! | What do dispatchers report to each other? | `peer_load` |
//! | How busy is a worker? | `load_report` |
//! | What is learned from an attempt? | `attempts` |
//! | How is the endpoint list obtained and applied? | `endpoint_list` |
mod admission;
mod attempts;
mod diffeqal;
mod dispatcher;
mod endpoint_list;
mod lifecycle;
mod load_report;
mod outlier;
mod peer_load;
mod slow_start;
mod subset;
mod worker_selection;

pub use dispatcher::Dispatcher;

#[cfg(test)]
pub(crate) mod test_support;
