//! Clusters of many simulated members, with and without faults.
use super::*;
use crate::time::SECOND;

mod grants;
mod membership;
#[cfg(feature = "mutations")]
mod mutations;

const QUORUM_SIZE: usize = 3;

/// Returns a cluster whose members have just been started.
fn starting(count: usize, seed: u64) -> SimulatedCluster {
    let mut cluster = SimulatedCluster::new(count, seed);
    for index in 0..count {
        let config = cluster.config_of(index, QUORUM_SIZE);
        cluster.start(index, config, 0);
    }
    cluster
}

/// Returns a cluster whose members agree and have claimed their ranks.
fn started(count: usize, seed: u64) -> SimulatedCluster {
    let mut cluster = starting(count, seed);
    agree_within(&mut cluster, 40 * SECOND);
    cluster.run(cluster.now + 2 * SECOND);
    cluster
}

/// Returns the time until all running members agree; panics if they do not within the limit.
fn agree_within(cluster: &mut SimulatedCluster, limit: Nanos) -> Nanos {
    let running = cluster.running();
    let took = cluster.run_until_agreed(&running, limit);
    took.expect("the running members did not agree within the limit")
}

fn to_ms(duration: Nanos) -> Nanos {
    duration / MILLISECOND
}
