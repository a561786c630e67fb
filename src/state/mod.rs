//! State of the decisions: requests, workers, request classes, and the estimates for each of them.
//! Makes no decisions.
mod class;
mod failure_score;
mod histogram;
mod inter_arrival;
mod peer_load_estimate;
mod request;
mod running_mean;
mod worker;

pub(crate) use class::RequestClass;
pub(crate) use failure_score::FailureScore;
#[cfg(test)]
pub(crate) use histogram::bin_index;
pub(crate) use histogram::{BINS, Bins, work_below};
pub(crate) use inter_arrival::InterArrivalTimes;
pub(crate) use peer_load_estimate::{Load, PeerLoadEstimate};
pub(crate) use request::{
    ActiveRequest, Attempt, MAX_ATTEMPTS, RequestDemand, RequestInput, RequestState, RequestStep,
    UncertainAttempt,
};
pub(crate) use running_mean::RunningMean;
pub(crate) use worker::{FleetMeans, Overruns, SentWork, WarmUpGrant, Worker};
