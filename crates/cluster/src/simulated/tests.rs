//! Many members together, with faults between them.
use super::*;
use crate::time::SECOND;

mod grants;
mod membership;
#[cfg(feature = "mutations")]
mod mutations;

const QUORUM_SIZE: usize = 3;

/// A cluster whose members have all just been started.
fn starting(count: usize, seed: u64) -> SimulatedCluster {
    let mut cluster = SimulatedCluster::new(count, seed);
    for index in 0..count {
        let config = cluster.config_of(index, QUORUM_SIZE);
        cluster.start(index, config, 0);
    }
    cluster
}

/// A cluster whose members agree and have claimed their ranks.
fn started(count: usize, seed: u64) -> SimulatedCluster {
    let mut cluster = starting(count, seed);
    agree_within(&mut cluster, 40 * SECOND);
    cluster.run(cluster.now + 2 * SECOND);
    cluster
}

/// How long it takes until all running members agree; panics after the limit.
fn agree_within(cluster: &mut SimulatedCluster, limit: Nanos) -> Nanos {
    let running = cluster.running();
    let took = cluster.run_until_agreed(&running, limit);
    took.expect("the running members never agreed")
}

fn to_ms(duration: Nanos) -> Nanos {
    duration / MILLISECOND
}
