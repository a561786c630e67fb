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
        self.more(1);
    }

    pub fn get(&self) -> u64 {
        self.0.get()
    }

    pub fn more(&self, count: usize) {
        self.0.set(self.0.get() + count as u64);
    }
}

// Their meaning stands in docs/on-call.md.
counters! {
    clients_accepted clients_idle_closed accept_paused accept_failed turned_away
    requests requests_bad requests_cut requests_known clients_left settled declined reversed answers_unsent
    postings posted_new posted_again started ended_settled ended_error ended_unfit ended_full ended_timeout ended_unconnected
    ended_broken ended_moot settled_late
    connects connects_failed pool_stale pool_broke pool_evicted no_descriptor probes
    told told_lost heard heard_dropped
    members_sent members_heard members_lost rights_wanted rights_got
    lists lists_failed lists_malformed hosts_clashing broken_promises
}

/// What must hold: asserted in debug builds, counted in release builds.
#[macro_export]
macro_rules! must {
    ($counters:expr, $holds:expr, $what:literal) => {
        if !$holds {
            debug_assert!(false, $what);
            $counters.broken_promises.add();
            $crate::log::error!("must hold: {}", $what);
        }
    };
}
