//! Runs the measured time of a fleet with load, list changes and faults, and collects the measurement.
use super::Fleet;
use super::costs::RoleCosts;
use super::events::EventQueue;
use crate::error::TestbedError;
use crate::scale::Measurement;
use crate::scale::discovery::DiscoveryReport;
use crate::scale::load::{self, LoadConfig, LoadTotals};
use crate::scale::plan::Plan;
use crate::scale::workers::WorkersReport;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Maximum time over which the requests that run from the start are sent.
const MAX_FILL_S: f64 = 4.0;
const START_POLL: Duration = Duration::from_millis(2);
/// Poll interval while no dispatcher is starting or shutting down.
const IDLE_POLL: Duration = Duration::from_millis(200);
/// Poll interval otherwise.
const TRANSITION_POLL: Duration = Duration::from_millis(10);

fn load_config(plan: &Plan) -> LoadConfig {
    let fill_s = if plan.starts > 0.0 {
        (plan.service_time_s / 2.0).min(MAX_FILL_S)
    } else {
        0.0
    };
    LoadConfig {
        requests_per_second: plan.starts,
        service_time: Duration::from_secs_f64(plan.service_time_s),
        tenants: plan.tenants,
        urgent_share: plan.urgent_share,
        initial_requests: plan.initial_requests(),
        fill: Duration::from_secs_f64(fill_s),
        measured: Duration::from_secs_f64(plan.seconds),
        timeout: Duration::from_secs_f64(3.0 * plan.service_time_s + 20.0),
        seed: plan.seed,
    }
}

impl Measurement {
    fn set_costs(&mut self, costs: RoleCosts) {
        self.dispatcher = costs.dispatcher;
        self.quorum_member = costs.quorum_member;
        self.simulated_dispatcher = costs.simulated_dispatcher;
        self.workers = costs.workers;
        self.discovery = costs.discovery;
    }

    /// Sets the results of workers. Requires that the costs have been set.
    fn set_workers_report(&mut self, report: &WorkersReport, seconds: f64) {
        let real_percent = self.dispatcher.cpu_percent * self.dispatcher.count as f64
            + self.quorum_member.cpu_percent * self.quorum_member.count as f64;
        self.cpu_us_per_start =
            real_percent / 100.0 * seconds * 1e6 / (report.started as f64).max(1.0);
        self.non_urgent = report.non_urgent;
        self.urgent = report.urgent;
        self.started = report.started;
        self.running = report.running;
        self.connects = report.connects;
        self.worst_window = report.worst_window;
        self.replaced_workers = report.replaced_workers;
    }

    /// Sets the results of discovery. Requires that the costs have been set.
    fn set_discovery_report(&mut self, report: &DiscoveryReport, dispatchers: usize, seconds: f64) {
        let bytes = (report.bytes_in + report.bytes_out) as f64;
        let bytes_per_dispatcher = bytes / dispatchers as f64 / seconds;
        self.dispatcher.discovery_bytes = bytes_per_dispatcher;
        self.quorum_member.discovery_bytes = bytes_per_dispatcher;
        self.simulated_dispatcher.discovery_bytes = bytes_per_dispatcher;
        self.change_mean_s = report.applied_mean_ms / 1e3;
        self.change_max_s = report.applied_max_ms / 1e3;
        self.changes = report.changes;
        self.changes_pending = report.pending_changes;
        self.watches = report.watches;
        self.full_lists = report.full_lists;
        self.full_list_bytes = report.full_list_bytes;
    }

    fn set_ready_times(&mut self, ready_s: &[f64]) {
        let mut sorted = ready_s.to_vec();
        sorted.sort_by(f64::total_cmp);
        let last = sorted.last().copied().unwrap_or(0.0);
        self.restarts = sorted.len();
        self.ready_p90_s = sorted.get(sorted.len() * 9 / 10).copied().unwrap_or(last);
        self.ready_max_s = last;
    }
}

impl Fleet {
    /// Runs the measured time and the recovery after it, and returns the measurement.
    pub(in crate::scale) fn measure(&mut self) -> Result<Measurement, TestbedError> {
        let load = self.start_load();
        self.workers.send("begin")?;
        self.discovery.send("begin")?;
        let tracked = self.track_roles();
        let ready_before = self.ready_s.len();
        let mut queue = EventQueue::new(&self.plan);
        let begin = Instant::now();
        self.run_events(&mut queue, begin)?;
        let seconds = begin.elapsed().as_secs_f64();
        let mut measurement = Measurement {
            agreement_s: self.agreement_s,
            ..Measurement::default()
        };
        measurement.set_costs(self.role_costs(&tracked, seconds));
        let workers: WorkersReport = self.workers.request("report")?;
        let discovery: DiscoveryReport = self.discovery.request("report")?;
        measurement.load = load.join().unwrap_or_default();
        measurement.set_workers_report(&workers, seconds);
        measurement.set_discovery_report(&discovery, self.plan.all_dispatchers(), seconds);
        measurement.set_ready_times(&self.ready_s[ready_before..]);
        let last_fault = Duration::from_secs_f64(queue.last_fault_s().min(seconds));
        measurement.recovery_s = self.wait_for_recovery(&mut queue, begin + last_fault)?;
        self.check_resources_now()?;
        measurement.processes = self.process_count();
        measurement.memory_mb = self.max_resident_mb();
        measurement.plan = self.plan.clone();
        Ok(measurement)
    }

    /// Starts the load and waits until the measured time begins.
    fn start_load(&self) -> thread::JoinHandle<LoadTotals> {
        let config = load_config(&self.plan);
        let addresses = self.client_addresses.clone();
        let measured = Arc::new(AtomicBool::new(false));
        let notify = measured.clone();
        let load = thread::spawn(move || {
            load::run(config, &addresses, move || {
                notify.store(true, Ordering::SeqCst);
            })
        });
        while !measured.load(Ordering::SeqCst) {
            thread::sleep(START_POLL);
        }
        load
    }

    fn run_events(&mut self, queue: &mut EventQueue, begin: Instant) -> Result<(), TestbedError> {
        let duration = Duration::from_secs_f64(self.plan.seconds);
        while begin.elapsed() < duration {
            self.apply_due(queue, || begin.elapsed().as_secs_f64())?;
            self.advance_transitions()?;
            self.check_resources()?;
            let next = queue.next_s().map(Duration::from_secs_f64);
            let next = next.map_or(duration, |next| next.min(duration));
            let poll = if self.transitions.is_empty() {
                IDLE_POLL
            } else {
                TRANSITION_POLL
            };
            thread::sleep(next.saturating_sub(begin.elapsed()).min(poll));
        }
        Ok(())
    }

    /// Waits until the fleet is complete again. Returns the seconds from the last fault until all members agreed, or 0
    /// without faults or without a cluster.
    fn wait_for_recovery(
        &mut self,
        queue: &mut EventQueue,
        last_fault: Instant,
    ) -> Result<f64, TestbedError> {
        self.apply_remaining_faults(queue)?;
        self.finish_transitions()?;
        if self.plan.faults.is_empty() || self.plan.without_cluster {
            return Ok(0.0);
        }
        self.wait_for_agreement(last_fault)
    }
}
