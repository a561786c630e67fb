//! Beginning and end of the faults of a scenario.
use super::Testbed;
use super::discovery::OutageKind;
use crate::error::TestbedError;
use crate::relay::LinkConditions;
use crate::scenario::{Fault, FaultKind};
use crate::worker::WorkerFault;
use std::time::Duration;

/// Time between the SIGTERM of a dispatcher and its restart.
const RESTART_AFTER_MS: u64 = 1_500;

/// Edge of a fault's active time. At equal times, ends are applied before beginnings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Edge {
    End,
    Begin,
}

/// Beginning or end of a fault. Events are ordered by time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct FaultEvent {
    pub(super) at_ms: u64,
    edge: Edge,
    /// Index of the fault in the scenario.
    fault: usize,
}

/// Returns the beginnings and ends of all faults, in order.
pub(super) fn timeline(faults: &[Fault]) -> Vec<FaultEvent> {
    let mut events = Vec::new();
    for (index, fault) in faults.iter().enumerate() {
        events.push(FaultEvent {
            at_ms: fault.at_ms,
            edge: Edge::Begin,
            fault: index,
        });
        let duration_ms = match fault.kind {
            FaultKind::Restart => RESTART_AFTER_MS,
            _ => fault.duration_ms,
        };
        if duration_ms > 0 {
            events.push(FaultEvent {
                at_ms: fault.at_ms + duration_ms,
                edge: Edge::End,
                fault: index,
            });
        }
    }
    events.sort_unstable();
    events
}

/// Directions of a dispatcher's links that a change applies to.
#[derive(Clone, Copy)]
struct Directions {
    inbound: bool,
    outbound: bool,
}

const INBOUND: Directions = Directions {
    inbound: true,
    outbound: false,
};
const OUTBOUND: Directions = Directions {
    inbound: false,
    outbound: true,
};
const BOTH: Directions = Directions {
    inbound: true,
    outbound: true,
};

/// Returns the worker fault that a fault of this kind activates for its duration, or `None` if it activates none.
fn worker_fault(kind: FaultKind) -> Option<WorkerFault> {
    match kind {
        FaultKind::Hang => Some(WorkerFault::Hang),
        FaultKind::Reset => Some(WorkerFault::Reset),
        FaultKind::LoseResponse => Some(WorkerFault::LoseResponse),
        FaultKind::LateConnections => Some(WorkerFault::LateConnections),
        FaultKind::LoseBeforeWindowEnd => Some(WorkerFault::LoseBeforeWindowEnd),
        _ => None,
    }
}

impl Testbed {
    pub(super) fn apply(&mut self, event: FaultEvent) -> Result<(), TestbedError> {
        let fault = self.scenario.faults[event.fault].clone();
        match event.edge {
            Edge::Begin => self.begin_fault(&fault),
            Edge::End => self.end_fault(&fault),
        }
    }

    /// Returns the targets of a fault that are numbers of dispatchers of this scenario.
    fn target_dispatchers(&self, fault: &Fault) -> Vec<usize> {
        let targets = fault.targets.iter().copied();
        targets
            .filter(|number| *number < self.dispatchers.len())
            .collect()
    }

    fn begin_fault(&mut self, fault: &Fault) -> Result<(), TestbedError> {
        let targets = self.target_dispatchers(fault);
        let duration = Duration::from_millis(fault.duration_ms);
        match fault.kind {
            FaultKind::Kill => targets.iter().for_each(|number| self.kill(*number)),
            FaultKind::Pause => targets.iter().for_each(|number| self.pause(*number)),
            FaultKind::Restart | FaultKind::Shutdown => {
                targets.iter().for_each(|number| self.shut_down(*number));
            }
            FaultKind::Start => targets
                .iter()
                .try_for_each(|number| self.start_and_wait(*number))?,
            FaultKind::AddWorkers => self.add_workers(fault.count.max(1))?,
            FaultKind::Drain => fault.targets.iter().for_each(|worker| self.drain(*worker)),
            FaultKind::Hang
            | FaultKind::Reset
            | FaultKind::LoseResponse
            | FaultKind::LateConnections
            | FaultKind::LoseBeforeWindowEnd => {
                self.change_workers(fault, Edge::Begin);
            }
            FaultKind::Partition => self.cut_links(&targets, BOTH),
            FaultKind::DropInbound => self.cut_links(&targets, INBOUND),
            FaultKind::DropOutbound => self.cut_links(&targets, OUTBOUND),
            FaultKind::LinkConditions => self.relay.set_default(fault.link),
            FaultKind::DiscoverySilent => self.interrupt_discovery(OutageKind::Silent, duration),
            FaultKind::DiscoveryClosed => self.interrupt_discovery(OutageKind::Closed, duration),
            FaultKind::DiscoveryMoved => self.move_discovery(duration)?,
        }
        Ok(())
    }

    fn end_fault(&mut self, fault: &Fault) -> Result<(), TestbedError> {
        let targets = self.target_dispatchers(fault);
        match fault.kind {
            FaultKind::Kill | FaultKind::Restart => {
                for number in targets {
                    // Another fault may have restarted the dispatcher already.
                    if self.dispatchers[number].process.is_none() {
                        self.start_and_wait(number)?;
                    }
                }
            }
            FaultKind::Pause => targets.iter().for_each(|number| self.resume(*number)),
            FaultKind::Hang
            | FaultKind::Reset
            | FaultKind::LoseResponse
            | FaultKind::LateConnections
            | FaultKind::LoseBeforeWindowEnd => {
                self.change_workers(fault, Edge::End);
            }
            FaultKind::Partition | FaultKind::DropInbound | FaultKind::DropOutbound => {
                self.set_links(&targets, BOTH, None);
            }
            FaultKind::LinkConditions => self.relay.set_default(self.scenario.links),
            // Outages of discovery end by themselves.
            FaultKind::Shutdown
            | FaultKind::Start
            | FaultKind::AddWorkers
            | FaultKind::Drain
            | FaultKind::DiscoverySilent
            | FaultKind::DiscoveryClosed
            | FaultKind::DiscoveryMoved => {}
        }
        Ok(())
    }

    fn start_and_wait(&mut self, number: usize) -> Result<(), TestbedError> {
        self.start_dispatcher(number)?;
        self.wait_until_ready(number)
    }

    fn change_workers(&self, fault: &Fault, edge: Edge) {
        let Some(worker_fault) = worker_fault(fault.kind) else {
            return;
        };
        let targets = fault.targets.iter();
        for worker in targets.filter_map(|number| self.workers.get(*number)) {
            match edge {
                Edge::Begin => worker.begin_fault(worker_fault),
                Edge::End => worker.end_fault(worker_fault),
            }
        }
    }

    fn cut_links(&self, dispatchers: &[usize], directions: Directions) {
        let cut = LinkConditions {
            cut: true,
            ..LinkConditions::default()
        };
        self.set_links(dispatchers, directions, Some(cut));
    }

    /// Sets the conditions of links between these dispatchers and all others; `None` restores the default.
    fn set_links(
        &self,
        dispatchers: &[usize],
        directions: Directions,
        conditions: Option<LinkConditions>,
    ) {
        let is_other = |number: &usize| !dispatchers.contains(number);
        for dispatcher in dispatchers {
            for other in (0..self.dispatchers.len()).filter(is_other) {
                if directions.inbound {
                    self.relay.set_link(other, *dispatcher, conditions);
                }
                if directions.outbound {
                    self.relay.set_link(*dispatcher, other, conditions);
                }
            }
        }
    }
}
