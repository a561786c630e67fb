//! Every decision of rosewall.
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
mod test_support;
