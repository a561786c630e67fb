//! What was taken in, sent and answered, counted for the log.
use std::cell::Cell;

macro_rules! counters {
    ($($name:ident)*) => {
        #[derive(Default)]
        pub struct Counters { $(pub $name: Counter,)* }

        impl std::fmt::Display for Counters {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str("counters:")?;
                $(write!(f, " {}={}", stringify!($name), self.$name.get())?;)*
                Ok(())
            }
        }
    };
}

#[derive(Default)]
pub struct Counter(Cell<u64>);

impl Counter {
    pub fn add(&self) {
        self.add_many(1);
    }

    pub fn get(&self) -> u64 {
        self.0.get()
    }

    pub fn add_many(&self, count: usize) {
        self.0.set(self.0.get() + count as u64);
    }
}

// Their meaning stands in docs/on-call.md.
counters! {
    clients_accepted clients_idle_closed accept_paused accept_failed clients_rejected
    requests requests_malformed requests_incomplete requests_duplicate clients_disconnected succeeded rejected failed answers_undelivered
    attempts attempts_on_new_connection attempts_on_reused_connection attempts_started attempts_succeeded attempts_worker_error attempts_invalid_request attempts_at_capacity attempts_timed_out attempts_connect_failed
    attempts_connection_lost attempts_not_sent succeeded_late
    connects connects_failed pool_stale pool_broken pool_evicted no_descriptor health_checks
    peer_loads_sent peer_loads_not_sent peer_loads_received peer_loads_dropped
    member_datagrams_sent member_datagrams_received member_datagrams_lost warm_up_grants_requested warm_up_grants_received
    lists watches_failed lists_malformed host_id_collisions invariant_violations
}

/// What must hold: asserted in debug builds, counted in release builds.
#[macro_export]
macro_rules! invariant {
    ($counters:expr, $holds:expr, $what:literal) => {
        if !$holds {
            debug_assert!(false, $what);
            $counters.invariant_violations.add();
            $crate::log::error!("invariant violated: {}", $what);
        }
    };
}
