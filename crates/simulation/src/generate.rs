//! Generates a scenario from a seed: sizes, classes, load and faults, combined so that faults
//! coincide. The order of the random draws must not change: any other order gives a different
//! scenario for every seed.
mod demanding_clients;
mod discovery_outages;
mod send_delays;

pub use demanding_clients::with_demanding_clients;
pub use discovery_outages::with_discovery_outages;
pub use send_delays::with_send_delays;

use crate::rng::Rng;
use crate::scenario::{
    ALL_MISBEHAVIOURS, Fault, FaultKind, Idempotency, Limits, Load, Membership, MisbehavingClient,
    NetworkConfig, RequestClass, RetryScope, Rules, Scenario, SingleRequest, WorkerSpec,
};

/// Random stream for classes, workers, load and most faults.
const MAIN_STREAM: u64 = 1;
/// Random stream for membership, limits, network and the faults between dispatchers.
const MEMBERSHIP_STREAM: u64 = 2;

/// Maximum requests per second of one load.
const MAX_RATE: f64 = 60.0;

const WORKER_FAULTS: [FaultKind; 14] = [
    FaultKind::Stall,
    FaultKind::Slow,
    FaultKind::Errors,
    FaultKind::FailClass,
    FaultKind::Unresponsive,
    FaultKind::AtCapacity,
    FaultKind::MalformedResponses,
    FaultKind::Crash,
    FaultKind::HostLost,
    FaultKind::Drain,
    FaultKind::DrainRejectQueued,
    FaultKind::Restart,
    FaultKind::ResetConnections,
    FaultKind::ResetBothSides,
];

const DISPATCHER_FAULTS: [FaultKind; 10] = [
    FaultKind::EndpointsSilent,
    FaultKind::EndpointsDelayed,
    FaultKind::EndpointsStale,
    FaultKind::EndpointsMissing,
    FaultKind::EndpointsMalformed,
    FaultKind::Kill,
    FaultKind::Stop,
    FaultKind::Reload,
    FaultKind::ReloadUnreachable,
    FaultKind::ReduceDescriptors,
];

const CLUSTER_FAULTS: [FaultKind; 4] = [
    FaultKind::DropInbound,
    FaultKind::DropOutbound,
    FaultKind::Partition,
    FaultKind::Kill,
];

/// Endpoint list faults that are generated together with a drain. Repeated entries are more likely.
const ENDPOINT_FAULTS_WITH_DRAIN: [FaultKind; 4] = [
    FaultKind::EndpointsStale,
    FaultKind::EndpointsStale,
    FaultKind::ReloadUnreachable,
    FaultKind::EndpointsSilent,
];

const IDEMPOTENCIES: [Idempotency; 3] = [
    Idempotency::Idempotent,
    Idempotency::IdempotentWithKey,
    Idempotency::NonIdempotent,
];

/// Rounds to one decimal place, for readable scenario files.
fn round(value: f64) -> f64 {
    (value * 10.0).round() / 10.0
}

/// Size of a scenario, which limits the targets and times of its faults and clients.
#[derive(Clone, Copy)]
struct Size {
    dispatchers: usize,
    workers: usize,
    length_ms: u64,
}

/// Generates the scenario of a seed.
pub fn generate(seed: u64) -> Scenario {
    let mut rng = Rng::new(seed, MAIN_STREAM);
    let size = Size {
        dispatchers: *rng.choose(&[1, 1, 2, 2, 3, 4, 8]),
        workers: rng.range(2, 9) as usize,
        length_ms: rng.range(2500, 7000),
    };
    let rules = generate_rules(&mut rng);
    let workers: Vec<WorkerSpec> = (0..size.workers)
        .map(|index| generate_worker(&mut rng, index))
        .collect();
    let classes: Vec<RequestClass> = IDEMPOTENCIES
        .iter()
        .map(|idempotency| generate_class(&mut rng, *idempotency))
        .collect();
    let loads = generate_loads(&mut rng, &workers);
    let mut faults = generate_faults(&mut rng, size);
    let misbehaving_clients = generate_misbehaving_clients(&mut rng, size);
    let requests = generate_single_requests(&mut rng, size, &faults);
    let mut rng = Rng::new(seed, MEMBERSHIP_STREAM);
    let membership = generate_membership(&mut rng, size);
    if membership.is_some() {
        generate_cluster_faults(&mut rng, size, &mut faults);
    }
    Scenario {
        name: format!("drawn from {seed}"),
        seed,
        length_ms: size.length_ms,
        dispatchers: size.dispatchers,
        limits: generate_limits(&mut rng),
        net: generate_network(&mut rng),
        rules,
        membership,
        polls_endpoints: false,
        classes,
        workers,
        loads,
        requests,
        misbehaving_clients,
        faults,
    }
}

fn generate_rules(rng: &mut Rng) -> Rules {
    Rules {
        drain_grace_ms: *rng.choose(&[500, 1000, 3000]),
        overload_multiple: *rng.choose(&[3.0, 4.0]),
        overload_window_ms: *rng.choose(&[1000, 2000]),
        slow_start_from: round(0.15 + 0.2 * rng.unit()),
        slow_start_ms: rng.range(4000, 20_000),
    }
}

fn generate_worker(rng: &mut Rng, index: usize) -> WorkerSpec {
    WorkerSpec {
        zone: index % 2,
        cell: index / 2,
        slots: rng.range(2, 5) as usize,
        queue: rng.range(2, 16) as usize,
        speed: round(0.7 + 0.6 * rng.unit()),
        cancels_queued: rng.chance(0.5),
        idle_timeout_factor: *rng.choose(&[1.0, 1.0, 1.0, 0.3, 0.05]),
    }
}

fn generate_class(rng: &mut Rng, idempotency: Idempotency) -> RequestClass {
    let deadline_ms = rng.range(250, 2500);
    RequestClass {
        idempotency,
        retry_scope: *rng.choose(&[RetryScope::All, RetryScope::Zone, RetryScope::Cell]),
        retry_window_ms: *rng.choose(&[200, 1000, 5000]),
        latency_objective_ms: deadline_ms * 2 / 3,
        deadline_ms,
        priority_weight: round(0.5 + 2.0 * rng.unit()),
        objective_stretch: *rng.choose(&[1.0, 2.0]),
    }
}

/// Generates one load per class. The total ranges from 20% to 130% of the capacity of all workers,
/// before the cap on each rate.
fn generate_loads(rng: &mut Rng, workers: &[WorkerSpec]) -> Vec<Load> {
    let capacity = workers
        .iter()
        .map(|worker| worker.slots as f64 * worker.speed)
        .sum::<f64>();
    let utilisation = *rng.choose(&[0.2, 0.4, 0.6, 0.8, 1.3]);
    (0..IDEMPOTENCIES.len())
        .map(|class| {
            let low = round(2.0 + 10.0 * rng.unit());
            let high = round(low * (2.0 + 10.0 * rng.unit()));
            let mean = (high - low) / (high / low).ln();
            let rate = (capacity * utilisation / 3.0 / (mean / 1000.0)).min(MAX_RATE);
            Load {
                class,
                rate: round(rate),
                from_ms: 0,
                until_ms: None,
                work_ms: [low, high],
                retries: rng.range(0, 3) as usize,
                disconnect_share: *rng.choose(&[0.0, 0.02, 0.2]),
                hints: rng.chance(0.8),
            }
        })
        .collect()
}

/// Generates faults clustered around a few moments, so that they overlap. Some begin at the same
/// instant.
fn generate_faults(rng: &mut Rng, size: Size) -> Vec<Fault> {
    let moments: Vec<f64> = (0..rng.range(1, 4))
        .map(|_| rng.range(300, size.length_ms) as f64)
        .collect();
    let mut faults = Vec::new();
    for _ in 0..rng.range(1, 8) {
        let fault = generate_fault(rng, size, &moments);
        let drains = matches!(fault.kind, FaultKind::Drain | FaultKind::DrainRejectQueued);
        let at_ms = fault.at_ms;
        faults.push(fault);
        if drains && rng.chance(0.4) {
            faults.push(generate_endpoint_fault_with_drain(rng, size, at_ms));
        }
    }
    faults
}

fn generate_fault(rng: &mut Rng, size: Size, moments: &[f64]) -> Fault {
    let kind = if rng.chance(0.6) {
        *rng.choose(&WORKER_FAULTS)
    } else {
        *rng.choose(&DISPATCHER_FAULTS)
    };
    let targets = if kind.targets_worker() {
        size.workers
    } else {
        size.dispatchers
    };
    let moment = *rng.choose(moments);
    let at_ms = match rng.range(0, 3) {
        0 => moment,
        1 => round(moment + 20.0 * rng.unit()),
        _ => round(moment + 600.0 * rng.unit()),
    };
    let share = generate_share(rng, kind);
    let duration_ms = *rng.choose(&[50.0, 150.0, 400.0, 1000.0, 2500.0]);
    Fault {
        at_ms,
        kind,
        target: rng.index(targets),
        duration_ms,
        share,
        class: rng.index(IDEMPOTENCIES.len()),
    }
}

fn generate_share(rng: &mut Rng, kind: FaultKind) -> f64 {
    match kind {
        FaultKind::Slow => round(1.5 + 8.0 * rng.unit()),
        FaultKind::ResetConnections
        | FaultKind::ResetBothSides
        | FaultKind::MalformedResponses
        | FaultKind::Errors
        | FaultKind::Unresponsive => *rng.choose(&[0.2, 0.5, 1.0]),
        FaultKind::EndpointsMissing => *rng.choose(&[0.3, 0.7, 1.0]),
        _ => 1.0,
    }
}

/// Generates a fault of an endpoint list close to a drain, so that the dispatcher may miss or undo
/// the drain.
fn generate_endpoint_fault_with_drain(rng: &mut Rng, size: Size, drain_at_ms: f64) -> Fault {
    let kind = *rng.choose(&ENDPOINT_FAULTS_WITH_DRAIN);
    let lead_ms = if kind == FaultKind::EndpointsStale {
        -400.0
    } else {
        20.0
    };
    Fault {
        at_ms: (drain_at_ms - lead_ms).max(0.0),
        kind,
        target: rng.index(size.dispatchers),
        duration_ms: 2500.0,
        share: 1.0,
        class: 0,
    }
}

fn generate_misbehaving_clients(rng: &mut Rng, size: Size) -> Vec<MisbehavingClient> {
    let count = if rng.chance(0.4) { rng.range(1, 5) } else { 0 };
    (0..count)
        .map(|_| MisbehavingClient {
            at_ms: rng.range(100, size.length_ms) as f64,
            kind: *rng.choose(&ALL_MISBEHAVIOURS),
            count: *rng.choose(&[1, 1, 3, 30]),
            dispatcher: rng.index(size.dispatchers),
        })
        .collect()
}

/// Generates requests that begin, end or are abandoned close to the begin or the end of a fault.
fn generate_single_requests(rng: &mut Rng, size: Size, faults: &[Fault]) -> Vec<SingleRequest> {
    (0..rng.range(0, 4))
        .map(|_| {
            let fault = &faults[rng.index(faults.len())];
            let at_end = rng.chance(0.5);
            let moment = fault.at_ms + if at_end { fault.duration_ms } else { 0.0 };
            let timeout_ms = rng.range(100, 800) as f64;
            let lead_ms = *rng.choose(&[0.0, timeout_ms, timeout_ms - 20.0, 50.0]);
            let at_ms = (moment - lead_ms).max(0.0);
            let disconnects = rng.chance(0.3);
            SingleRequest {
                at_ms,
                class: rng.index(IDEMPOTENCIES.len()),
                dispatcher: rng.index(size.dispatchers),
                work_ms: *rng.choose(&[5.0, 100.0, timeout_ms]),
                timeout_ms: Some(timeout_ms),
                disconnect_after_ms: disconnects.then_some((moment - at_ms).max(1.0)),
            }
        })
        .collect()
}

fn generate_membership(rng: &mut Rng, size: Size) -> Option<Membership> {
    if size.dispatchers < 2 || !rng.chance(0.5) {
        return None;
    }
    Some(Membership {
        quorum_members: if size.dispatchers < 3 {
            1
        } else {
            *rng.choose(&[0, 3, 3])
        },
        peer_load: rng.chance(0.5),
        loss: *rng.choose(&[0.0, 0.05, 0.2]),
        duplicate: *rng.choose(&[0.0, 0.1]),
        jitter_ms: *rng.choose(&[0, 5, 200]),
        skew_ms: *rng.choose(&[0, 500, 5_000]),
    })
}

/// Adds faults between dispatchers, and a worker that restarts while warm-up grants are exchanged.
fn generate_cluster_faults(rng: &mut Rng, size: Size, faults: &mut Vec<Fault>) {
    for _ in 0..rng.range(0, 3) {
        faults.push(Fault {
            kind: *rng.choose(&CLUSTER_FAULTS),
            at_ms: rng.range(300, size.length_ms) as f64,
            target: rng.index(size.dispatchers),
            duration_ms: *rng.choose(&[150.0, 1000.0, 2500.0]),
            share: 1.0,
            class: 0,
        });
    }
    if rng.chance(0.5) {
        faults.push(Fault {
            kind: FaultKind::Restart,
            at_ms: rng.range(300, size.length_ms) as f64,
            target: rng.index(size.workers),
            duration_ms: 0.0,
            share: 1.0,
            class: 0,
        });
    }
}

fn generate_limits(rng: &mut Rng) -> Limits {
    Limits {
        sockets: *rng.choose(&[96, 128, 384]),
        memory_mb: *rng.choose(&[16, 48]),
        health_checks: rng.chance(0.3),
        idle_ms: *rng.choose(&[2000, 5000]),
        ..Limits::default()
    }
}

fn generate_network(rng: &mut Rng) -> NetworkConfig {
    NetworkConfig {
        latency_us: *rng.choose(&[[20, 60], [50, 400], [100, 3000]]),
        partial_io: *rng.choose(&[0.0, 0.05, 0.3]),
        reset_discards_unread: rng.chance(0.5),
        backlog: *rng.choose(&[1, 8, 128]),
    }
}
