//! Cost of the processes of each role over the measured time.
use super::Fleet;
use crate::relay::Traffic;
use crate::scale::RoleCost;
use crate::scale::system::{cpu_time_ns, resident_bytes};

/// A process with its counters at the start of the measured time.
struct TrackedProcess {
    pid: u32,
    /// Numbers of the dispatchers that run in it; empty for workers and discovery.
    dispatchers: Vec<usize>,
    cpu_time_ns: u64,
    traffic: Traffic,
}

/// Tracked processes of each role.
pub(super) struct TrackedRoles {
    dispatchers: Vec<TrackedProcess>,
    quorum_members: Vec<TrackedProcess>,
    simulated_dispatchers: Vec<TrackedProcess>,
    workers: Vec<TrackedProcess>,
    discovery: Vec<TrackedProcess>,
}

/// Cost of each role.
pub(super) struct RoleCosts {
    pub(super) dispatcher: RoleCost,
    pub(super) quorum_member: RoleCost,
    pub(super) simulated_dispatcher: RoleCost,
    pub(super) workers: RoleCost,
    pub(super) discovery: RoleCost,
}

impl Fleet {
    fn traffic(&self, dispatchers: &[usize]) -> Traffic {
        let mut traffic = Traffic::default();
        for number in dispatchers {
            traffic += self.relay.traffic(*number);
        }
        traffic
    }

    fn track(&self, pid: u32, dispatchers: Vec<usize>) -> TrackedProcess {
        TrackedProcess {
            pid,
            cpu_time_ns: cpu_time_ns(pid),
            traffic: self.traffic(&dispatchers),
            dispatchers,
        }
    }

    /// Records the counters of all processes as the baseline for `role_costs`.
    pub(super) fn track_roles(&self) -> TrackedRoles {
        let quorum = self.plan.quorum_members();
        let mut dispatchers = Vec::new();
        let mut quorum_members = Vec::new();
        for (number, process) in self.real.iter().enumerate() {
            let Some(process) = process else { continue };
            let tracked = self.track(process.pid(), vec![number]);
            if quorum.contains(&number) {
                quorum_members.push(tracked);
            } else {
                dispatchers.push(tracked);
            }
        }
        let simulated = self.simulated.iter();
        TrackedRoles {
            dispatchers,
            quorum_members,
            simulated_dispatchers: simulated
                .map(|group| self.track(group.process.pid(), group.numbers.clone()))
                .collect(),
            workers: vec![self.track(self.workers.pid(), Vec::new())],
            discovery: vec![self.track(self.discovery.pid(), Vec::new())],
        }
    }

    /// Returns the cost of all roles since they were tracked, `seconds` ago.
    pub(super) fn role_costs(&self, tracked: &TrackedRoles, seconds: f64) -> RoleCosts {
        RoleCosts {
            dispatcher: self.role_cost(&tracked.dispatchers, seconds),
            quorum_member: self.role_cost(&tracked.quorum_members, seconds),
            simulated_dispatcher: self.role_cost(&tracked.simulated_dispatchers, seconds),
            workers: self.role_cost(&tracked.workers, seconds),
            discovery: self.role_cost(&tracked.discovery, seconds),
        }
    }

    fn role_cost(&self, processes: &[TrackedProcess], seconds: f64) -> RoleCost {
        let mut role = RoleCost::default();
        for process in processes {
            self.add_cost(&mut role, process, seconds);
        }
        let count = role.count.max(1) as f64;
        for total in [
            &mut role.cpu_percent,
            &mut role.resident_mb,
            &mut role.datagrams_out,
            &mut role.datagrams_in,
            &mut role.bytes_out,
            &mut role.bytes_in,
        ] {
            *total /= count;
        }
        role
    }

    fn add_cost(&self, role: &mut RoleCost, process: &TrackedProcess, seconds: f64) {
        let resident = resident_bytes(process.pid);
        // A process that has restarted in the meantime cannot be measured.
        if resident == 0 {
            return;
        }
        let count = process.dispatchers.len().max(1);
        let run_ns = cpu_time_ns(process.pid).saturating_sub(process.cpu_time_ns);
        let cpu_percent = 100.0 * run_ns as f64 / 1e9 / seconds;
        let resident_mb = resident as f64 / 1e6;
        role.count += count;
        role.cpu_percent += cpu_percent;
        role.cpu_percent_max = role.cpu_percent_max.max(cpu_percent / count as f64);
        role.resident_mb += resident_mb;
        role.resident_mb_max = role.resident_mb_max.max(resident_mb / count as f64);
        let traffic = self.traffic(&process.dispatchers);
        let sent = traffic.sent.since(process.traffic.sent);
        let received = traffic.received.since(process.traffic.received);
        role.datagrams_out += sent.datagrams as f64 / seconds;
        role.bytes_out += sent.bytes as f64 / seconds;
        role.datagrams_in += received.datagrams as f64 / seconds;
        role.bytes_in += received.bytes as f64 / seconds;
    }
}
