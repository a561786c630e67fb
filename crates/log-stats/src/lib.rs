//! Statistics over the debug logs of many dispatchers, by second and by worker.

mod line;
mod second_counts;
mod statistics;

pub use statistics::Statistics;
