//! Counters of one dispatcher, printed to the log. `docs/on-call.md` says how to read them.
use std::cell::Cell;
use std::fmt;

/// Counter that never decreases.
#[derive(Default)]
pub struct Counter(Cell<u64>);

impl Counter {
    /// Adds one.
    pub fn add(&self) {
        self.add_many(1);
    }

    /// Adds `count`.
    pub fn add_many(&self, count: usize) {
        self.0.set(self.0.get() + count as u64);
    }

    /// Returns the current value.
    pub fn get(&self) -> u64 {
        self.0.get()
    }
}

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident,)*) => {
        /// Counters of one dispatcher since it started. Displayed as `counters: name=value ...` in
        /// this order.
        #[derive(Default)]
        pub struct Counters { $($(#[$doc])* pub $name: Counter,)* }

        impl fmt::Display for Counters {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("counters:")?;
                $(write!(f, " {}={}", stringify!($name), self.$name.get())?;)*
                Ok(())
            }
        }
    };
}

counters! {
    /// Connections accepted from clients.
    clients_accepted,
    /// Clients closed because they were idle for too long, or to free their descriptor.
    clients_idle_closed,
    /// Pauses of accepting because no descriptor was free.
    accept_paused,
    /// Connections that the operating system failed to accept.
    accept_failed,
    /// Clients rejected because no descriptor became free for them.
    clients_rejected,
    /// Complete requests accepted.
    requests,
    /// Requests refused as malformed or beyond a limit on size or memory.
    requests_malformed,
    /// Requests aborted because they were not complete in time.
    requests_incomplete,
    /// Requests refused because their id is active or was sent before.
    requests_duplicate,
    /// Clients that disconnected before their answer.
    clients_disconnected,
    /// Requests answered with a worker's result.
    succeeded,
    /// Requests answered with the promise that nothing ran.
    rejected,
    /// Requests answered without that promise.
    failed,
    /// Answers that could not be written to the client.
    answers_undelivered,
    /// Attempts sent to workers.
    attempts,
    /// Attempts for which the pool had no connection.
    attempts_on_new_connection,
    /// Attempts that started on a connection from the pool. If it fails before the last byte, a new
    /// one replaces it.
    attempts_on_reused_connection,
    /// Attempts that the worker reported as started.
    attempts_started,
    /// Attempts that ended as `Succeeded`.
    attempts_succeeded,
    /// Attempts that ended as `WorkerError`.
    attempts_worker_error,
    /// Attempts that ended as `InvalidRequest`.
    attempts_invalid_request,
    /// Attempts that ended as `AtCapacity`.
    attempts_at_capacity,
    /// Attempts that ended as `TimedOut`.
    attempts_timed_out,
    /// Attempts that ended as `ConnectFailed`.
    attempts_connect_failed,
    /// Attempts that ended as `ConnectionLost` or `Cancelled`.
    attempts_connection_lost,
    /// Attempts that ended as `NotSent`.
    attempts_not_sent,
    /// Results received after their request was answered or its client disconnected.
    succeeded_late,
    /// Connections to workers attempted.
    connects,
    /// Connections to workers that were refused or not established in time.
    connects_failed,
    /// Pooled connections found expired or closed.
    pool_stale,
    /// Pooled connections that broke in use after they were found reusable.
    pool_broken,
    /// Pooled connections dropped to free their descriptor.
    pool_evicted,
    /// Attempts that had to wait for a descriptor.
    no_descriptor,
    /// Health checks sent.
    health_checks,
    /// Load reports sent to other dispatchers.
    peer_loads_sent,
    /// Load reports that could not be sent or exceeded the rate limit.
    peer_loads_not_sent,
    /// Load reports received from other dispatchers.
    peer_loads_received,
    /// Load reports dropped as malformed, from an unknown sender or beyond the rate limit.
    peer_loads_dropped,
    /// Datagrams sent to other members of the cluster.
    member_datagrams_sent,
    /// Datagrams received from other members of the cluster.
    member_datagrams_received,
    /// Datagrams to other members that could not be sent, and received ones beyond the rate limit.
    member_datagrams_lost,
    /// Warm-up grants requested.
    warm_up_grants_requested,
    /// Warm-up grants received.
    warm_up_grants_received,
    /// Endpoint lists received and passed to the engine.
    lists,
    /// Watches on the endpoint list that failed, except time-outs after which the watch was reopened
    /// at once.
    watches_failed,
    /// Endpoint lists ignored as malformed.
    lists_malformed,
    /// Hosts ignored because another host has the same worker id.
    host_id_collisions,
    /// Violations of an [`invariant!`](crate::invariant).
    invariant_violations,
}
