//! What each fault does.
use super::START;
use super::dispatchers::gossip_address;
use super::environment::Environment;
use crate::network::ResetScope;
use crate::scenario::{Fault, FaultKind};
use crate::time::{MS, from_ms};
use crate::timeline::TimelineEvent;
use crate::worker::{FaultInterval, WorkerProcess};
use rosewall::types::{EndpointState, Nanos};
use std::ops::RangeInclusive;
use std::rc::Rc;

/// How long discovery takes to notice that a worker drains.
const DRAIN_NOTICE: RangeInclusive<Nanos> = 0..=300 * MS;
/// How long discovery takes to notice that a host is lost.
const HOST_LOST_NOTICE: RangeInclusive<Nanos> = 500 * MS..=1500 * MS;
/// The descriptors that a dispatcher keeps at least.
const MIN_DESCRIPTORS: usize = 64;

/// A fault that has begun.
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
    /// Plays one fault, from its moment to its end.
    pub async fn inject(self: Rc<Self>, fault: Fault) {
        let kernel = &self.context.kernel;
        kernel
            .sleep_until(crate::kernel::ENVIRONMENT, START + from_ms(fault.at_ms))
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
        if active.fault.kind.targets_worker() {
            let process = self.worker(active.fault.target);
            self.inject_at_worker(&active, &process).await;
        } else if active.fault.kind.affects_endpoint_list() {
            self.inject_at_agent(&active).await;
        } else {
            self.inject_at_dispatcher(&active).await;
        }
    }

    async fn inject_at_worker(&self, active: &ActiveFault, process: &WorkerProcess) {
        let ActiveFault {
            fault, duration, ..
        } = active;
        let worker = fault.target;
        let network = &self.context.network;
        match fault.kind {
            FaultKind::ResetConnections => {
                network.reset_links(process.host(), fault.share, ResetScope::OtherSide);
            }
            FaultKind::ResetBothSides => {
                network.reset_links(process.host(), fault.share, ResetScope::BothSides);
            }
            FaultKind::Crash => self.terminate_worker(worker, process, *duration).await,
            FaultKind::HostLost => {
                network.set_unreachable(process.host(), true);
                self.publish_endpoint(worker, EndpointState::Removed, HOST_LOST_NOTICE);
                self.context.kernel.sleep(*duration).await;
                // Once the host is back, what was open is reset.
                network.set_unreachable(process.host(), false);
                process.terminate();
                self.restart_worker(worker);
            }
            FaultKind::Drain | FaultKind::DrainRejectQueued => {
                process.draining.set(true);
                self.publish_endpoint(worker, EndpointState::Draining, DRAIN_NOTICE);
                if fault.kind == FaultKind::DrainRejectQueued {
                    process.reject_queued();
                }
                self.context.kernel.sleep(*duration).await;
                self.terminate_worker(worker, process, *duration).await;
            }
            FaultKind::Restart => {
                process.terminate();
                self.restart_worker(worker);
            }
            _ => set_worker_fault(active, process),
        }
    }

    async fn inject_at_agent(&self, active: &ActiveFault) {
        let ActiveFault {
            fault,
            duration,
            until,
        } = active;
        let agent = &self.agents[fault.target];
        match fault.kind {
            FaultKind::EndpointsSilent => {
                for address in 0..2 {
                    agent.silence(address, *until);
                }
            }
            FaultKind::EndpointsForgetWatch => {
                agent.forget_open_polls();
                self.context.kernel.sleep(*duration).await;
                agent.record_current_as_published();
            }
            FaultKind::EndpointsDelayed => agent.delay_changes(*until, *duration),
            FaultKind::EndpointsStale => agent.show_stale_list(*duration),
            FaultKind::EndpointsMissing => {
                let kernel = &self.context.kernel;
                let omitted = (0..self.workers.borrow().len())
                    .filter(|_| kernel.random(|rng| rng.chance(fault.share)))
                    .collect();
                agent.omit_workers(omitted, *until);
            }
            // The one that is left: `EndpointsMalformed`.
            _ => agent.send_malformed_lists(*until),
        }
    }

    async fn inject_at_dispatcher(self: &Rc<Self>, active: &ActiveFault) {
        let ActiveFault {
            fault,
            duration,
            until,
        } = active;
        let dispatcher = fault.target;
        let network = &self.context.network;
        match fault.kind {
            FaultKind::Kill => {
                if self.is_running(dispatcher) {
                    self.kill_dispatcher(dispatcher);
                    self.context.kernel.sleep(*duration).await;
                    self.start_dispatcher(dispatcher);
                }
            }
            FaultKind::Stop => {
                if self.is_running(dispatcher) {
                    self.stop_dispatcher(dispatcher).await;
                    self.context.kernel.sleep(*duration).await;
                    self.start_dispatcher(dispatcher);
                }
            }
            FaultKind::DropInbound => {
                network.drop_inbound_datagrams(gossip_address(dispatcher), *until);
            }
            FaultKind::DropOutbound => {
                network.drop_outbound_datagrams(gossip_address(dispatcher), *until);
            }
            FaultKind::Partition => {
                network.partition_datagrams((0..=dispatcher).map(gossip_address), *until);
            }
            FaultKind::Reload | FaultKind::ReloadUnreachable => self.move_discovery(active),
            // The one that is left: `ReduceDescriptors`.
            _ => {
                let descriptors = self.scenario.limits.sockets;
                self.reload(dispatcher, (descriptors / 2).max(MIN_DESCRIPTORS));
                self.context.kernel.sleep(*duration).await;
                self.reload(dispatcher, descriptors);
            }
        }
    }

    /// Configures a dispatcher with the other address of its discovery agent.
    fn move_discovery(&self, active: &ActiveFault) {
        let dispatcher = active.fault.target;
        let agent = &self.agents[dispatcher];
        let unreachable = active.fault.kind == FaultKind::ReloadUnreachable;
        let old = self.dispatchers.borrow()[dispatcher].discovery_address;
        let new = 1 - old;
        self.dispatchers.borrow_mut()[dispatcher].discovery_address = new;
        if unreachable {
            agent.silence(new, active.until);
        }
        self.reload(dispatcher, self.scenario.limits.sockets);
        if !unreachable {
            agent.silence(old, active.until);
        }
    }
}

/// The faults that change how a worker answers.
fn set_worker_fault(active: &ActiveFault, process: &WorkerProcess) {
    let interval = active.interval();
    let mut faults = process.faults.borrow_mut();
    match active.fault.kind {
        FaultKind::Stall => faults.stalled_until = active.until,
        FaultKind::Slow => faults.slow = interval,
        FaultKind::Errors => faults.errors = interval,
        FaultKind::FailClass => {
            faults.class_failures = interval;
            faults.failing_class = active.fault.class;
        }
        FaultKind::Unresponsive => faults.unresponsive = interval,
        FaultKind::AtCapacity => faults.at_capacity = interval,
        FaultKind::MalformedResponses => faults.malformed = interval,
        // All others are no matter of how it answers.
        _ => {}
    }
}
