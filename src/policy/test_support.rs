//! Fixtures of the tests of the decisions.
use super::Dispatcher;
use crate::settings::{Idempotency, Map};
use crate::start_delays::{AttemptId, Sent};
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

pub(crate) fn settings() -> Map {
    let pair = |word: &str| {
        word.split_once('=')
            .map(|(name, value)| (name.to_string(), value.to_string()))
    };
    SETTINGS.split_whitespace().filter_map(pair).collect()
}

pub(crate) fn id(n: u8) -> WorkerId {
    WorkerId {
        addr: [10, 0, 0, n],
        port: 9,
    }
}

pub(crate) fn entry(n: u8, state: EndpointState, started: Nanos) -> Endpoint {
    Endpoint {
        worker: id(n),
        state,
        zone: 0,
        worker_type: 0,
        size: 2.0,
        started,
        group: u16::from(n % 2),
    }
}

/// One of so many dispatchers, with the list it kept.
pub(crate) fn among(dispatchers: u32, me: u32, endpoints: Vec<Endpoint>) -> Dispatcher {
    let mut map = settings();
    map.insert("dispatchers".into(), dispatchers.to_string());
    map.insert("me".into(), me.to_string());
    let mut d = Dispatcher::start(0, 7, &map).unwrap();
    d.handle(
        0,
        Event::EndpointList {
            scope: ListScope::Cached,
            endpoints,
        },
        &mut Vec::new(),
    );
    d
}

/// So many workers, all warm.
pub(crate) fn warm(workers: u8) -> Vec<Endpoint> {
    (0..workers)
        .map(|n| entry(n, EndpointState::Ready, 0))
        .collect()
}

/// One of two dispatchers that has heard of so many workers, all warm.
pub(crate) fn dispatcher(workers: u8) -> Dispatcher {
    among(2, 0, warm(workers))
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
    let mut acts = Vec::new();
    d.handle(now, event, &mut acts);
    acts.retain(|act| !matches!(act, Action::SetTimer { .. }));
    acts
}

/// The latest attempts all started at `now`, each with such a delay, and so many of the 32 that are kept too late.
pub(crate) fn starts_of_late(d: &mut Dispatcher, now: Nanos, delay: f64, late: u32) {
    let wait = 2.0 * SECOND;
    for request in 0..32 {
        let id = AttemptId {
            request: 1_000_000 + request,
            number: 0,
        };
        let time_to_spare = if request >= 32 - late {
            0.5 * wait
        } else {
            1.25 * wait
        };
        let expected_wait = wait - delay * time_to_spare;
        d.start_delays.sent(Sent {
            id,
            at: now - wait as Nanos,
            expected_wait,
            time_to_spare,
            service_time: 0.0,
        });
        d.start_delays.started(id, now);
    }
}

pub(crate) fn settled(request_id: RequestId) -> Event {
    let (outcome, report) = (Outcome::Succeeded, Report::default());
    Event::AttemptEnded(AttemptEnded {
        request_id,
        attempt_index: 0,
        outcome,
        complete: true,
        report,
    })
}

/// One of so many dispatchers that may tell each other what they have out.
pub(crate) fn sharing(dispatchers: u32, workers: u8) -> Dispatcher {
    let mut map = settings();
    map.insert("dispatchers".into(), dispatchers.to_string());
    map.insert("peer_load.allowed".into(), "true".into());
    let mut d = Dispatcher::start(0, 7, &map).unwrap();
    d.handle(
        0,
        Event::EndpointList {
            scope: ListScope::Cached,
            endpoints: warm(workers),
        },
        &mut Vec::new(),
    );
    d
}

pub(crate) fn ended(request_id: RequestId, attempt_index: u8, outcome: Outcome) -> Event {
    Event::AttemptEnded(AttemptEnded {
        request_id,
        attempt_index,
        outcome,
        complete: outcome == Outcome::Succeeded,
        report: Report::default(),
    })
}

/// One of 300 dispatchers with 200 workers. Class 0 is wanted within 60 ms, class 2 within 3 s.
pub(crate) fn one_of_a_large_fleet() -> Dispatcher {
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
    let endpoints = warm(200)
        .into_iter()
        .map(|listed| Endpoint { zone: 1, ..listed })
        .collect();
    d.handle(
        0,
        Event::EndpointList {
            scope: ListScope::Cached,
            endpoints,
        },
        &mut Vec::new(),
    );
    d
}

/// One that tells the others, by its number.
pub(crate) fn numbered(me: u32, dispatchers: u32, workers: u8) -> Dispatcher {
    let mut d = sharing(dispatchers, workers);
    d.settings.rank = f64::from(me);
    d.rank = me as usize;
    d.select_subsets(0);
    d
}

pub(crate) const GRANT_SETTINGS: &str = "attempts.max=3 retry_after.allowed=true retry_after.max=2e9 start_notes=true slow_start.from=0.2 \
    slow_start.duration=6e9 overload.multiple=1.5 overload.window=1e9 report.fields=none endpoints.mode=pushed class.count=1 warm_up_grants=true \
    class.0.idempotency=idempotent class.0.retry_scope=all class.0.retry_window=0 class.0.latency_objective=3e8 class.0.priority_weight=1";

/// One of so many by the settings, with so many workers, the last of which started just after.
pub(crate) fn grant_dispatcher(slots: u16, me: u16, workers: u8, cold: u8) -> Dispatcher {
    let pair = |word: &str| {
        word.split_once('=')
            .map(|(name, value)| (name.to_string(), value.to_string()))
    };
    let mut map: Map = GRANT_SETTINGS.split_whitespace().filter_map(pair).collect();
    map.insert("dispatchers".into(), slots.to_string());
    map.insert("me".into(), me.to_string());
    let mut d = Dispatcher::start(0, 7, &map).unwrap();
    let entry = |n: u8| {
        let started = if n + cold >= workers { MS } else { 0 };
        let state = EndpointState::Ready;
        Endpoint {
            worker: id(n),
            state,
            zone: 0,
            worker_type: 0,
            size: 1.0,
            started,
            group: 0,
        }
    };
    let endpoints = (0..workers).map(entry).collect();
    d.handle(
        MS,
        Event::EndpointList {
            scope: ListScope::Snapshot,
            endpoints,
        },
        &mut Vec::new(),
    );
    d
}

pub(crate) fn set_view(d: &mut Dispatcher, place: Option<(u16, u16)>) {
    let position = place.map(|(rank, dispatchers)| FleetPosition { rank, dispatchers });
    d.handle(2 * MS, Event::FleetView(position), &mut Vec::new());
}

/// A tiny request that can no longer meet its latency objective.
pub(crate) fn overdue_request(request: Request) -> ActiveRequest {
    let demand = RequestDemand {
        work: 1.0,
        service_time: 1.0,
        slots_required: 1.0,
    };
    ActiveRequest::new(request, Idempotency::Idempotent, demand, 0)
}
