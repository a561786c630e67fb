//! Events of the measured time: faults and changes of the endpoint list.
use super::Fleet;
use crate::error::TestbedError;
use crate::scale::http::unix_nanos;
use crate::scale::plan::{Fault, FaultKind, Plan};
use crate::scale::topology::{Partition, region, zone};
use serde_json::Value;

/// Interval between the dispatcher restarts of one fault.
const RESTART_INTERVAL_S: f64 = 0.02;
/// Interval between the worker replacements of one fault.
const REPLACE_INTERVAL_S: f64 = 0.01;
/// Step between the workers of consecutive list changes, which spreads the changes over workers.
const CHANGE_STRIDE: usize = 7;
/// Share of a worker after a list change; its next change sets it back to 1. The difference affects no decision.
const CHANGED_SHARE: f64 = 1.001;
/// Regions that the fault `cut` separates.
const PARTITION: Partition = Partition { one: 0, other: 1 };

/// Numbers of the dispatchers and workers that one fault removes together.
#[derive(Clone)]
struct AffectedPeers {
    dispatchers: Vec<usize>,
    workers: Vec<usize>,
}

enum Event {
    RestartDispatcher(usize),
    KillDispatcher(usize),
    ReplaceWorker(usize),
    /// Changes the published endpoint of a worker.
    ChangeEndpoint(usize),
    Lose(AffectedPeers),
    Recover(AffectedPeers),
    BeginPartition,
    HealPartition,
    DiscoveryDown,
    DiscoveryUp,
}

struct TimedEvent {
    at_s: f64,
    event: Event,
}

fn at(at_s: f64, event: Event) -> TimedEvent {
    TimedEvent { at_s, event }
}

/// Pending events of a run, sorted with the next one last.
pub(super) struct EventQueue {
    events: Vec<TimedEvent>,
    last_fault_s: f64,
}

impl EventQueue {
    pub(super) fn new(plan: &Plan) -> EventQueue {
        let faults = plan.faults.iter();
        let mut events: Vec<TimedEvent> =
            faults.flat_map(|fault| fault_events(plan, fault)).collect();
        let last_fault_s = events.iter().map(|event| event.at_s).fold(0.0, f64::max);
        let changes = (plan.changes * plan.seconds) as usize;
        events.extend((0..changes).map(|n| {
            let worker = n * CHANGE_STRIDE % plan.workers;
            at(n as f64 / plan.changes, Event::ChangeEndpoint(worker))
        }));
        events.sort_by(|one, other| other.at_s.total_cmp(&one.at_s));
        EventQueue {
            events,
            last_fault_s,
        }
    }

    /// Time of the last event of any fault, in seconds from the start of the measured time.
    pub(super) fn last_fault_s(&self) -> f64 {
        self.last_fault_s
    }

    /// Time of the next event, in seconds from the start of the measured time.
    pub(super) fn next_s(&self) -> Option<f64> {
        self.events.last().map(|event| event.at_s)
    }

    fn next(&mut self) -> Option<Event> {
        self.events.pop().map(|timed| timed.event)
    }
}

/// Returns the events of a fault that removes all dispatchers and workers in a place for a time.
fn loss(plan: &Plan, fault: &Fault, is_affected: impl Fn(usize) -> bool) -> Vec<TimedEvent> {
    let affected = AffectedPeers {
        dispatchers: (0..plan.all_dispatchers())
            .filter(|number| is_affected(*number))
            .collect(),
        workers: (0..plan.workers)
            .filter(|number| is_affected(*number))
            .collect(),
    };
    vec![
        at(fault.at_s, Event::Lose(affected.clone())),
        at(fault.at_s + fault.duration_s, Event::Recover(affected)),
    ]
}

/// Returns restarts of dispatchers that are not quorum members, real ones first.
fn restarts(plan: &Plan, fault: &Fault) -> Vec<TimedEvent> {
    let quorum = plan.quorum_members();
    let others = (0..plan.all_dispatchers()).filter(|number| !quorum.contains(number));
    let targets = others.take(fault.value as usize).enumerate();
    targets
        .map(|(n, number)| {
            let at_s = fault.at_s + RESTART_INTERVAL_S * n as f64;
            at(at_s, Event::RestartDispatcher(number))
        })
        .collect()
}

fn release(plan: &Plan, fault: &Fault) -> Vec<TimedEvent> {
    let all = plan.all_dispatchers();
    (0..all)
        .map(|number| {
            let at_s = fault.at_s + fault.value * number as f64 / all as f64;
            at(at_s, Event::RestartDispatcher(number))
        })
        .collect()
}

fn replacements(plan: &Plan, fault: &Fault) -> Vec<TimedEvent> {
    (0..(fault.value as usize).min(plan.workers))
        .map(|worker| {
            let at_s = fault.at_s + REPLACE_INTERVAL_S * worker as f64;
            at(at_s, Event::ReplaceWorker(worker))
        })
        .collect()
}

fn quorum_kills(plan: &Plan, fault: &Fault) -> Vec<TimedEvent> {
    let members = plan.quorum_members().into_iter().enumerate();
    members
        .map(|(n, number)| {
            let at_s = fault.at_s + fault.value * n as f64;
            at(at_s, Event::KillDispatcher(number))
        })
        .collect()
}

/// Returns the events of a fault.
fn fault_events(plan: &Plan, fault: &Fault) -> Vec<TimedEvent> {
    let place = fault.value as usize;
    let end_s = fault.at_s + fault.duration_s;
    match fault.kind {
        FaultKind::Restart => restarts(plan, fault),
        FaultKind::Release => release(plan, fault),
        FaultKind::Replace => replacements(plan, fault),
        FaultKind::Rack => {
            let machines = place.max(2);
            loss(plan, fault, |number| number % machines == machines - 1)
        }
        FaultKind::Zone => loss(plan, fault, |number| zone(number) == place),
        FaultKind::Region => loss(plan, fault, |number| region(zone(number)) == place),
        FaultKind::Partition => vec![
            at(fault.at_s, Event::BeginPartition),
            at(end_s, Event::HealPartition),
        ],
        FaultKind::Discovery => vec![
            at(fault.at_s, Event::DiscoveryDown),
            at(end_s, Event::DiscoveryUp),
        ],
        FaultKind::KillQuorum => quorum_kills(plan, fault),
    }
}

impl Fleet {
    /// Applies all events that are due.
    pub(super) fn apply_due(
        &mut self,
        queue: &mut EventQueue,
        elapsed_s: impl Fn() -> f64,
    ) -> Result<(), TestbedError> {
        while queue.next_s().is_some_and(|at_s| elapsed_s() >= at_s) {
            if let Some(event) = queue.next() {
                self.apply(event)?;
            }
        }
        Ok(())
    }

    /// Applies the fault events that are due after the measured time, so that the fleet becomes complete again.
    pub(super) fn apply_remaining_faults(
        &mut self,
        queue: &mut EventQueue,
    ) -> Result<(), TestbedError> {
        while let Some(event) = queue.next() {
            if !matches!(event, Event::ChangeEndpoint(_)) {
                self.apply(event)?;
            }
        }
        Ok(())
    }

    fn apply(&mut self, event: Event) -> Result<(), TestbedError> {
        match event {
            Event::RestartDispatcher(number) => self.restart(number),
            Event::KillDispatcher(number) => self.kill(number),
            Event::ReplaceWorker(worker) => {
                self.replace_worker(worker)?;
                self.publish(&[worker])
            }
            Event::ChangeEndpoint(worker) => {
                let share = &mut self.endpoints[worker]["share"];
                *share = if *share == 1.0 { CHANGED_SHARE } else { 1.0 }.into();
                self.publish(&[worker])
            }
            Event::Lose(affected) => self.lose(&affected),
            Event::Recover(affected) => self.recover(&affected),
            Event::BeginPartition => {
                self.relay.partition_regions(Some(PARTITION));
                let Partition { one, other } = PARTITION;
                self.workers.send(&format!("cut {one} {other}"))
            }
            Event::HealPartition => {
                self.relay.partition_regions(None);
                self.workers.send("heal")
            }
            Event::DiscoveryDown => self.discovery.send("down"),
            Event::DiscoveryUp => self.discovery.send("up"),
        }
    }

    /// Publishes the current endpoints of these workers.
    fn publish(&mut self, workers: &[usize]) -> Result<(), TestbedError> {
        let changed: Vec<Value> = workers
            .iter()
            .map(|worker| self.endpoints[*worker].clone())
            .collect();
        self.discovery
            .send(&format!("change {}", Value::from(changed)))
    }

    /// Replaces a worker by a new one that has to warm up, without publishing it.
    fn replace_worker(&mut self, worker: usize) -> Result<(), TestbedError> {
        self.workers.send(&format!("replace {worker}"))?;
        let endpoint = &mut self.endpoints[worker];
        endpoint["born_ms"] = (unix_nanos() / 1_000_000).into();
        endpoint["health"] = "ready".into();
        Ok(())
    }

    fn lose(&mut self, affected: &AffectedPeers) -> Result<(), TestbedError> {
        for number in &affected.dispatchers {
            self.kill(*number)?;
        }
        for worker in &affected.workers {
            self.workers.send(&format!("lose {worker}"))?;
            self.endpoints[*worker]["health"] = "gone".into();
        }
        self.publish(&affected.workers)
    }

    fn recover(&mut self, affected: &AffectedPeers) -> Result<(), TestbedError> {
        for worker in &affected.workers {
            self.replace_worker(*worker)?;
        }
        self.publish(&affected.workers)?;
        let mut dispatchers = affected.dispatchers.iter();
        dispatchers.try_for_each(|number| self.start_again(*number))
    }
}
