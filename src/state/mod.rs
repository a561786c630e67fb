//! What the decisions remember: requests, workers, request classes, and the estimates kept for each of them.
mod class;
mod failure_score;
mod histogram;
mod inter_arrival;
mod peer_load_estimate;
mod request;
mod worker;

pub(crate) use class::{RequestClass, WeightBasis};
pub(crate) use failure_score::FailureScore;
#[cfg(test)]
pub(crate) use histogram::bin_index;
pub(crate) use histogram::{BINS, Bins, work_below};
pub(crate) use inter_arrival::InterArrivalTimes;
pub(crate) use peer_load_estimate::PeerLoadEstimate;
pub(crate) use request::{
    ActiveRequest, Attempt, Idempotency, MAX_ATTEMPTS, RequestInput, RequestState, RequestStep,
};
pub(crate) use worker::Worker;
