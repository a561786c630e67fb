//! Fixtures for the tests of the decisions.
use super::Dispatcher;
use crate::settings::{Idempotency, SettingsMap};
use crate::start_delays::{AttemptId, SentAttempt};
use crate::state::{ActiveRequest, RequestDemand};
use crate::time::SECOND;
use crate::types::{
    Action, AttemptEnded, Endpoint, EndpointState, Event, FleetPosition, ListScope, Nanos, Outcome,
    Report, Request, RequestId, WorkerId,
};

pub(crate) const MS: Nanos = 1_000_000;

pub(crate) const SETTINGS: &str = "dispatchers=2 me=0 attempts.max=4 retry_after.allowed=true \
    retry_after.max=2000000000 start_notes=true slow_start.from=0.2 slow_start.duration=10e9 overload.multiple=3 overload.window=1e9 \
    report.fields=inflight,free-slots endpoints.mode=polled class.count=3 \
    class.0.idempotency=idempotent class.0.retry_scope=all class.0.retry_window=0 class.0.latency_objective=3e8 class.0.priority_weight=1 \
    class.1.idempotency=idempotent-with-key class.1.retry_scope=cell class.1.retry_window=400000000 class.1.latency_objective=3e8 class.1.priority_weight=5 \
    class.2.idempotency=non-idempotent class.2.retry_scope=all class.2.retry_window=0 class.2.latency_objective=3e8 class.2.priority_weight=9 \
    class.0.objective_stretch=2 class.1.objective_stretch=2 class.2.objective_stretch=2";

pub(crate) fn settings() -> SettingsMap {
    let pair = |word: &str| {
        word.split_once('=')
            .map(|(name, value)| (name.to_string(), value.to_string()))
    };
    SETTINGS.split_whitespace().filter_map(pair).collect()
}

pub(crate) fn worker_id(n: u8) -> WorkerId {
    WorkerId {
        addr: [10, 0, 0, n],
        port: 9,
    }
}

pub(crate) fn endpoint(n: u8, state: EndpointState, started: Nanos) -> Endpoint {
    Endpoint {
        worker: worker_id(n),
        state,
        zone: 0,
        worker_type: 0,
        size: 2.0,
        started,
        group: u16::from(n % 2),
    }
}

/// Returns one of `dispatchers` dispatchers, with a cached endpoint list.
pub(crate) fn dispatcher_of(dispatchers: u32, rank: u32, endpoints: Vec<Endpoint>) -> Dispatcher {
    let mut map = settings();
    map.insert("dispatchers".into(), dispatchers.to_string());
    map.insert("me".into(), rank.to_string());
    let mut d = Dispatcher::start(0, 7, &map).unwrap();
    list_endpoints(&mut d, 0, ListScope::Cached, endpoints);
    d
}

/// Returns the endpoints of warm workers.
pub(crate) fn warm_endpoints(workers: u8) -> Vec<Endpoint> {
    (0..workers)
        .map(|n| endpoint(n, EndpointState::Ready, 0))
        .collect()
}

/// Returns one of two dispatchers, with warm workers.
pub(crate) fn dispatcher(workers: u8) -> Dispatcher {
    dispatcher_of(2, 0, warm_endpoints(workers))
}

pub(crate) fn request(id: RequestId, class: u8, hint: Nanos, now: Nanos) -> Request {
    Request {
        id,
        class,
        tenant: 0,
        hint: Some(hint),
        slots: 1.0,
        memory: 0.5,
        deadline: now + 5_000 * MS,
    }
}

pub(crate) fn handle(d: &mut Dispatcher, now: Nanos, event: Event) -> Vec<Action> {
    let mut actions = Vec::new();
    d.handle(now, event, &mut actions);
    actions.retain(|action| !matches!(action, Action::SetTimer { .. }));
    actions
}

/// Delivers a request and returns the actions except timers.
pub(crate) fn send_request(d: &mut Dispatcher, now: Nanos, request: Request) -> Vec<Action> {
    handle(d, now, Event::RequestArrived(request))
}

/// Delivers an endpoint list and returns the actions except timers.
pub(crate) fn list_endpoints(
    d: &mut Dispatcher,
    now: Nanos,
    scope: ListScope,
    endpoints: Vec<Endpoint>,
) -> Vec<Action> {
    handle(d, now, Event::EndpointList { scope, endpoints })
}

/// Reports the start of the first attempt of a request and returns the actions except timers.
pub(crate) fn start_attempt(d: &mut Dispatcher, now: Nanos, request_id: RequestId) -> Vec<Action> {
    let attempt_index = 0;
    let event = Event::AttemptStarted {
        request_id,
        attempt_index,
    };
    handle(d, now, event)
}

/// Returns the worker of an attempt that must be the only action.
pub(crate) fn only_attempt(actions: &[Action]) -> WorkerId {
    let [Action::SendAttempt { worker, .. }] = actions else {
        panic!("{actions:?}")
    };
    *worker
}

/// Records 32 attempts that all started at `now`, with a delay as a fraction of their slack. The last
/// `late` of them started late.
pub(crate) fn start_recent_attempts(d: &mut Dispatcher, now: Nanos, delay: f64, late: u32) {
    let wait = 2.0 * SECOND;
    for request in 0..32 {
        let id = AttemptId::new(1_000_000 + request, 0);
        let slack = if request >= 32 - late {
            0.5 * wait
        } else {
            1.25 * wait
        };
        let expected_wait = wait - delay * slack;
        d.start_delays.record_sent(SentAttempt {
            id,
            sent_at: now - wait as Nanos,
            expected_wait,
            slack,
            service_time: 0.0,
        });
        d.start_delays.record_start(id, now);
    }
}

/// Returns the event that the first attempt of a request succeeded.
pub(crate) fn succeeded(request_id: RequestId) -> Event {
    attempt_ended(request_id, 0, Outcome::Succeeded)
}

/// Returns one of `dispatchers` dispatchers that exchange load, with warm workers.
pub(crate) fn exchanging_dispatcher(dispatchers: u32, workers: u8) -> Dispatcher {
    let mut map = settings();
    map.insert("dispatchers".into(), dispatchers.to_string());
    map.insert("peer_load.allowed".into(), "true".into());
    let mut d = Dispatcher::start(0, 7, &map).unwrap();
    list_endpoints(&mut d, 0, ListScope::Cached, warm_endpoints(workers));
    d
}

/// Returns the event that an attempt ended, without a load report.
pub(crate) fn attempt_ended(request_id: RequestId, attempt_index: u8, outcome: Outcome) -> Event {
    Event::AttemptEnded(AttemptEnded {
        request_id,
        attempt_index,
        outcome,
        complete: outcome == Outcome::Succeeded,
        report: Report::default(),
    })
}

/// Returns one of 300 dispatchers with 200 workers. The latency objective is 60 ms for class 0 and 3 s
/// for class 2.
pub(crate) fn dispatcher_of_large_fleet() -> Dispatcher {
    let mut map = settings();
    for (name, value) in [
        ("dispatchers", "300"),
        ("zone", "1"),
        ("class.0.latency_objective", "6e7"),
        ("class.2.latency_objective", "3e9"),
    ] {
        map.insert(name.into(), value.into());
    }
    let mut d = Dispatcher::start(0, 7, &map).unwrap();
    let endpoints = warm_endpoints(200)
        .into_iter()
        .map(|listed| Endpoint { zone: 1, ..listed })
        .collect();
    list_endpoints(&mut d, 0, ListScope::Cached, endpoints);
    d
}

/// Returns the dispatcher of a rank among `dispatchers` dispatchers that exchange load.
pub(crate) fn exchanging_dispatcher_of_rank(
    rank: u32,
    dispatchers: u32,
    workers: u8,
) -> Dispatcher {
    let mut d = exchanging_dispatcher(dispatchers, workers);
    d.settings.rank = f64::from(rank);
    d.rank = rank as usize;
    d.select_subsets(0);
    d
}

pub(crate) const GRANT_SETTINGS: &str = "attempts.max=3 retry_after.allowed=true retry_after.max=2e9 start_notes=true slow_start.from=0.2 \
    slow_start.duration=6e9 overload.multiple=1.5 overload.window=1e9 report.fields=none endpoints.mode=pushed class.count=1 warm_up_grants=true \
    class.0.idempotency=idempotent class.0.retry_scope=all class.0.retry_window=0 class.0.latency_objective=3e8 class.0.priority_weight=1";

/// Returns a dispatcher that uses warm-up grants. The last `warming` workers have just started.
pub(crate) fn granting_dispatcher(
    dispatchers: u16,
    rank: u16,
    workers: u8,
    warming: u8,
) -> Dispatcher {
    let pair = |word: &str| {
        word.split_once('=')
            .map(|(name, value)| (name.to_string(), value.to_string()))
    };
    let mut map: SettingsMap = GRANT_SETTINGS.split_whitespace().filter_map(pair).collect();
    map.insert("dispatchers".into(), dispatchers.to_string());
    map.insert("me".into(), rank.to_string());
    let mut d = Dispatcher::start(0, 7, &map).unwrap();
    let entry = |n: u8| {
        let started = if n + warming >= workers { MS } else { 0 };
        let state = EndpointState::Ready;
        Endpoint {
            worker: worker_id(n),
            state,
            zone: 0,
            worker_type: 0,
            size: 1.0,
            started,
            group: 0,
        }
    };
    let endpoints = (0..workers).map(entry).collect();
    list_endpoints(&mut d, MS, ListScope::Snapshot, endpoints);
    d
}

pub(crate) fn set_fleet_view(d: &mut Dispatcher, rank_and_count: Option<(u16, u16)>) {
    let position = rank_and_count.map(|(rank, dispatchers)| FleetPosition { rank, dispatchers });
    d.handle(2 * MS, Event::FleetView(position), &mut Vec::new());
}

/// Returns a request of 1 ns that can no longer meet its latency objective.
pub(crate) fn overdue_request(request: Request) -> ActiveRequest {
    let demand = RequestDemand {
        work: 1.0,
        service_time: 1.0,
        slots_required: 1.0,
    };
    ActiveRequest::new(request, Idempotency::Idempotent, demand, 0)
}
