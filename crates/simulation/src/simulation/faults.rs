//! Injects the faults of a scenario.
mod discovery;

use super::START;
use super::dispatchers::gossip_address;
use super::environment::Environment;
use crate::checker::WorkerIndex;
use crate::fault_interval::FaultInterval;
use crate::kernel::ENVIRONMENT;
use crate::network::ResetScope;
use crate::scenario::{Fault, FaultKind};
use crate::time::{MS, from_ms};
use crate::timeline::TimelineEvent;
use crate::worker::WorkerFaults;
use rosewall::types::{EndpointState, Nanos};
use std::ops::RangeInclusive;
use std::rc::Rc;

/// The range of the time until discovery detects that a worker is draining.
const DRAIN_NOTICE_DELAY: RangeInclusive<Nanos> = 0..=300 * MS;
/// The range of the time until discovery detects that a host is lost.
const HOST_LOST_NOTICE_DELAY: RangeInclusive<Nanos> = 500 * MS..=1500 * MS;
/// Time from the kill of a dispatcher until its discovery falls silent.
const OUTAGE_AFTER_KILL: Nanos = 400 * MS;
/// Time from then until the dispatcher starts again.
const START_AFTER_OUTAGE: Nanos = 100 * MS;
/// The lowest descriptor limit to which a fault reduces a dispatcher.
const MIN_DESCRIPTORS: usize = 64;

/// An active fault, with its duration and end in virtual time.
struct ActiveFault {
    fault: Fault,
    duration: Nanos,
    until: Nanos,
}

impl ActiveFault {
    fn interval(&self) -> FaultInterval {
        FaultInterval {
            until: self.until,
            share: self.fault.share,
        }
    }
}

impl Environment {
    /// Waits for the time of a fault, injects it, and undoes it after its duration unless it ends
    /// by itself.
    pub async fn inject(self: Rc<Self>, fault: Fault) {
        let kernel = &self.context.kernel;
        kernel
            .sleep_until(ENVIRONMENT, START + from_ms(fault.at_ms))
            .await;
        kernel.record(
            TimelineEvent::FaultInjected,
            fault.kind as u64,
            fault.target as u64,
            || {
                let Fault {
                    kind,
                    target,
                    duration_ms,
                    share,
                    ..
                } = fault;
                format!("{kind:?} at {target} for {duration_ms} ms, share {share}")
            },
        );
        let duration = from_ms(fault.duration_ms);
        let active = ActiveFault {
            duration,
            until: kernel.now() + duration,
            fault,
        };
        self.apply(&active).await;
    }

    async fn apply(&self, active: &ActiveFault) {
        let target = active.fault.target;
        let interval = active.interval();
        match active.fault.kind {
            FaultKind::Stall => self.set_worker_fault(target, |faults| {
                faults.stalled_until = interval.until;
            }),
            FaultKind::Slow => self.set_worker_fault(target, |faults| faults.slow = interval),
            FaultKind::Errors => self.set_worker_fault(target, |faults| faults.errors = interval),
            FaultKind::FailClass => self.set_worker_fault(target, |faults| {
                faults.class_failures = interval;
                faults.failing_class = active.fault.class;
            }),
            FaultKind::Unresponsive => {
                self.set_worker_fault(target, |faults| faults.unresponsive = interval);
            }
            FaultKind::AtCapacity => {
                self.set_worker_fault(target, |faults| faults.at_capacity = interval);
            }
            FaultKind::MalformedResponses => {
                self.set_worker_fault(target, |faults| faults.malformed = interval);
            }
            FaultKind::LateConnections => {
                let host = self.worker(target).host();
                let network = &self.context.network;
                network.delay_connections(host, interval);
            }
            FaultKind::LateAccepts => self.delay_accepts(target, interval),
            FaultKind::ResetBeforeWindowEnd => self.set_worker_fault(target, |faults| {
                faults.reset_before_window_end = interval;
            }),
            FaultKind::ResetConnections => self.reset_connections(active, ResetScope::OtherSide),
            FaultKind::ResetBothSides => self.reset_connections(active, ResetScope::BothSides),
            FaultKind::Crash => self.crash_worker(active).await,
            FaultKind::HostLost => self.lose_host(active).await,
            FaultKind::Drain | FaultKind::DrainRejectQueued => self.drain_worker(active).await,
            FaultKind::Restart => self.replace_process(target),
            FaultKind::EndpointsSilent => self.silence_discovery(active),
            FaultKind::EndpointsDelayed => {
                self.agents[target].delay_changes(active.until, active.duration);
            }
            FaultKind::EndpointsStale => self.agents[target].publish_stale_list(active.duration),
            FaultKind::EndpointsMissing => self.omit_endpoints(active),
            FaultKind::EndpointsMalformed => self.agents[target].send_malformed_lists(active.until),
            FaultKind::EndpointsForgetWatch => self.drop_watch(active).await,
            FaultKind::EndpointsClosed => self.close_discovery(active).await,
            FaultKind::ReloadClosed => self.move_to_closed_discovery(active).await,
            FaultKind::StartInOutage => self.start_in_outage(active).await,
            FaultKind::Kill => self.kill_and_start(active).await,
            FaultKind::Stop => self.stop_and_start(active).await,
            FaultKind::Reload | FaultKind::ReloadUnreachable => self.move_discovery(active),
            FaultKind::ReduceDescriptors => self.reduce_descriptors(active).await,
            FaultKind::HoldUp => self.hold_up(active).await,
            FaultKind::DropInbound | FaultKind::DropOutbound | FaultKind::Partition => {
                self.drop_datagrams(active);
            }
        }
    }
}

/// Faults of workers.
impl Environment {
    fn set_worker_fault(&self, worker: WorkerIndex, set: impl FnOnce(&mut WorkerFaults)) {
        set(&mut self.worker(worker).faults.borrow_mut());
    }

    fn delay_accepts(&self, worker: WorkerIndex, interval: FaultInterval) {
        let host = self.worker(worker).host();
        self.context
            .network
            .limit_unaccepted_bytes(host, interval.until);
        self.set_worker_fault(worker, |faults| faults.late_accepts = interval);
    }

    fn reset_connections(&self, active: &ActiveFault, scope: ResetScope) {
        let host = self.worker(active.fault.target).host();
        self.context
            .network
            .reset_links(host, active.fault.share, scope);
    }

    async fn crash_worker(&self, active: &ActiveFault) {
        let worker = active.fault.target;
        let process = self.worker(worker);
        self.terminate_worker(worker, &process, active.duration)
            .await;
    }

    async fn lose_host(&self, active: &ActiveFault) {
        let worker = active.fault.target;
        let process = self.worker(worker);
        let network = &self.context.network;
        network.set_unreachable(process.host(), true);
        self.publish_endpoint(worker, EndpointState::Removed, HOST_LOST_NOTICE_DELAY);
        self.context.kernel.sleep(active.duration).await;
        // When the host is reachable again, its open connections are reset.
        network.set_unreachable(process.host(), false);
        process.terminate();
        self.restart_worker(worker);
    }

    async fn drain_worker(&self, active: &ActiveFault) {
        let worker = active.fault.target;
        let process = self.worker(worker);
        process.draining.set(true);
        self.publish_endpoint(worker, EndpointState::Draining, DRAIN_NOTICE_DELAY);
        if active.fault.kind == FaultKind::DrainRejectQueued {
            process.reject_queued();
        }
        self.context.kernel.sleep(active.duration).await;
        self.terminate_worker(worker, &process, active.duration)
            .await;
    }

    fn replace_process(&self, worker: WorkerIndex) {
        self.worker(worker).terminate();
        self.restart_worker(worker);
    }
}

/// Faults of dispatchers.
impl Environment {
    fn drop_datagrams(&self, active: &ActiveFault) {
        let network = &self.context.network;
        let target = active.fault.target;
        match active.fault.kind {
            FaultKind::DropInbound => {
                network.drop_inbound_datagrams(gossip_address(target), active.until);
            }
            FaultKind::DropOutbound => {
                network.drop_outbound_datagrams(gossip_address(target), active.until);
            }
            _ => {
                let side = (0..=target).map(gossip_address);
                network.partition_datagrams(side, active.until);
            }
        }
    }

    async fn kill_and_start(&self, active: &ActiveFault) {
        let dispatcher = active.fault.target;
        if self.is_running(dispatcher) {
            self.kill_dispatcher(dispatcher);
            self.context.kernel.sleep(active.duration).await;
            self.start_dispatcher(dispatcher);
        }
    }

    async fn start_in_outage(&self, active: &ActiveFault) {
        let dispatcher = active.fault.target;
        if !self.is_running(dispatcher) {
            return;
        }
        let kernel = &self.context.kernel;
        self.kill_dispatcher(dispatcher);
        kernel.sleep(OUTAGE_AFTER_KILL).await;
        for address in 0..2 {
            self.agents[dispatcher].silence(address, kernel.now() + active.duration);
        }
        kernel.sleep(START_AFTER_OUTAGE).await;
        self.start_dispatcher(dispatcher);
    }

    async fn stop_and_start(&self, active: &ActiveFault) {
        let dispatcher = active.fault.target;
        if self.is_running(dispatcher) {
            self.stop_dispatcher(dispatcher).await;
            self.context.kernel.sleep(active.duration).await;
            self.start_dispatcher(dispatcher);
        }
    }

    async fn hold_up(&self, active: &ActiveFault) {
        let kernel = &self.context.kernel;
        let host = self.dispatchers.borrow()[active.fault.target].host;
        self.context
            .checker
            .borrow_mut()
            .dispatcher_held_up(host, kernel.now(), active.until);
        kernel.suspend(host);
        kernel.sleep(active.duration).await;
        kernel.resume(host);
    }

    async fn reduce_descriptors(&self, active: &ActiveFault) {
        let dispatcher = active.fault.target;
        let descriptors = self.scenario.limits.sockets;
        self.reload(dispatcher, (descriptors / 2).max(MIN_DESCRIPTORS));
        self.context.kernel.sleep(active.duration).await;
        self.reload(dispatcher, descriptors);
    }
}
