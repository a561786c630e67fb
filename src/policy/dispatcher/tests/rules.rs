//! Randomized test: valid events in random order, with every action checked against the rules. At most
//! one attempt of a request is in flight and none follows the answer, only permitted retries are sent,
//! draining and removed workers get no requests, and no warming worker is overloaded.
use crate::pcg::Pcg;
use crate::policy::Dispatcher;
use crate::policy::lifecycle::classify_outcome;
use crate::policy::test_support::{
    MS, dispatcher_of, endpoint, request, warm_endpoints, worker_id,
};
use crate::settings::AtCapacityMeaning;
use crate::state::{RequestInput, UncertainAttempt};
use crate::time::SECOND;
use crate::types::{
    Action, AttemptEnded, EndpointState, Event, ListScope, Nanos, Outcome, PeerLoad, Report,
    RequestId, WorkerId,
};
use std::collections::BTreeMap;
use test_case::test_case;

const STEPS: u32 = 6_000;
const STEP: Nanos = 10 * MS;

/// An attempt in flight.
struct InFlight {
    attempt_index: u8,
    worker: usize,
    sent_at: Nanos,
}

/// State of one request in the model.
#[derive(Default)]
struct Record {
    class: u8,
    deadline: Nanos,
    answers: usize,
    in_flight: Vec<InFlight>,
    sent: u8,
    first_uncertain: Option<UncertainAttempt>,
}

/// Work sent to a worker.
struct WorkSent {
    worker: usize,
    at: Nanos,
    work: f64,
}

/// A dispatcher in a random environment.
struct Model {
    dispatcher: Dispatcher,
    rng: Pcg,
    workers: u8,
    dispatchers: u32,
    states: Vec<EndpointState>,
    started: Vec<Nanos>,
    timers: Vec<(Nanos, u64)>,
    requests: BTreeMap<RequestId, Record>,
    work_sent: Vec<WorkSent>,
    /// Largest capacity that the dispatcher has estimated. Estimates change within a window.
    max_capacity_per_size: f64,
}

impl Model {
    fn new(seed: u64, workers: u8, dispatchers: u32) -> Self {
        let mut dispatcher = dispatcher_of(dispatchers, 0, warm_endpoints(workers));
        dispatcher.exchanges_load = seed > 6;
        dispatcher.select_subsets(0);
        Model {
            dispatcher,
            rng: Pcg::new(seed),
            workers,
            dispatchers,
            states: vec![EndpointState::Ready; usize::from(workers)],
            started: vec![0; usize::from(workers)],
            timers: Vec::new(),
            requests: BTreeMap::new(),
            work_sent: Vec::new(),
            max_capacity_per_size: 0.0,
        }
    }

    fn below(&mut self, limit: f64) -> usize {
        (self.rng.unit() * limit) as usize
    }

    fn step(&mut self, step: u32) {
        let now = u64::from(step) * STEP;
        let mut events = Vec::new();
        self.change_endpoint(now, &mut events);
        self.report_peer_loads(&mut events);
        self.advance_requests(now, &mut events);
        self.add_request(step, now, &mut events);
        let due = self.timers.extract_if(.., |(at, _)| *at <= now);
        events.extend(due.map(|(_, token)| Event::TimerFired { token }));
        let mut actions = Vec::new();
        for event in events {
            self.dispatcher.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.check(now, action);
            }
        }
    }

    fn change_endpoint(&mut self, now: Nanos, events: &mut Vec<Event>) {
        if self.rng.unit() >= 0.02 {
            return;
        }
        let any = self.below(f64::from(self.workers));
        let subset = &self.dispatcher.classes[0].subset;
        let worker = if self.states.len() > 6 && !subset.is_empty() {
            subset[any % subset.len()]
        } else {
            any
        };
        self.states[worker] = [
            EndpointState::Ready,
            EndpointState::Draining,
            EndpointState::Removed,
        ][self.below(3.0)];
        if self.states[worker] == EndpointState::Ready {
            self.started[worker] = now;
        }
        let endpoint = endpoint(worker as u8, self.states[worker], self.started[worker]);
        events.push(Event::EndpointList {
            scope: ListScope::Delta,
            endpoints: vec![endpoint],
        });
    }

    /// Adds random load reports: false ones, out of order, and for workers that do not exist. No rule
    /// depends on them.
    fn report_peer_loads(&mut self, events: &mut Vec<Event>) {
        while self.dispatcher.exchanges_load && self.rng.unit() < 0.6 {
            let from = self.below(f64::from(self.dispatchers)) as u16;
            let load = PeerLoad {
                worker: worker_id(self.below(f64::from(self.workers) + 2.0) as u8),
                half_slots: self.below(6.0) as u8,
                work_units: self.below(300.0) as u16,
                speed_code: self.below(256.0) as u8,
            };
            events.push(Event::PeerLoad { from, load });
        }
    }

    fn advance_requests(&mut self, now: Nanos, events: &mut Vec<Event>) {
        for (request_id, record) in &mut self.requests {
            let random = self.rng.unit();
            assert!(
                record.answers > 0 || now <= record.deadline + STEP,
                "a request without an answer at its deadline"
            );
            if random < 0.01 && record.answers == 0 && now < record.deadline {
                record.answers += 1;
                events.push(Event::ClientDisconnected {
                    request_id: *request_id,
                });
            } else if !record.in_flight.is_empty() {
                events.extend(record.advance_attempt(*request_id, now, random));
            }
        }
    }

    fn add_request(&mut self, step: u32, now: Nanos, events: &mut Vec<Event>) {
        if self.rng.unit() >= 0.5 || step >= 5_000 {
            return;
        }
        let class = self.below(3.0) as u8;
        let hint = (20.0 + self.rng.unit() * 400.0) as Nanos * MS;
        let request = request(step, class, hint, now);
        let record = Record {
            class,
            deadline: request.deadline,
            ..Record::default()
        };
        self.requests.insert(step, record);
        events.push(Event::RequestArrived(request));
    }

    fn check(&mut self, now: Nanos, action: Action) {
        match action {
            Action::SetTimer { at, token } => self.timers.push((at.max(now + 1), token)),
            Action::SendAttempt {
                request_id, worker, ..
            } => {
                self.check_attempt(now, request_id, worker);
            }
            Action::Reject { request_id, .. } => {
                let record = self.requests.get_mut(&request_id).unwrap();
                let may_have_run = record.class > 0 && record.first_uncertain.is_some();
                assert!(
                    !may_have_run && record.in_flight.is_empty(),
                    "rejected though it may have run"
                );
                record.answer(now);
            }
            Action::Fail { request_id } => {
                self.requests.get_mut(&request_id).unwrap().answer(now);
            }
            _ => {}
        }
    }

    fn check_attempt(&mut self, now: Nanos, request_id: RequestId, worker: WorkerId) {
        let worker = usize::from(worker.addr[3]);
        assert!(
            self.states[worker] == EndpointState::Ready,
            "sent to a draining or removed worker"
        );
        self.requests
            .get_mut(&request_id)
            .unwrap()
            .add_attempt(now, worker);
        self.check_warm_up(now, request_id, worker);
    }

    /// Checks that a warming worker gets at most half of its overload limit in any window.
    fn check_warm_up(&mut self, now: Nanos, request_id: RequestId, worker: usize) {
        let d = &self.dispatcher;
        let work = d.requests[d.request_keys[&request_id]].demand.work;
        self.max_capacity_per_size = self.max_capacity_per_size.max(d.capacity_per_size);
        self.work_sent.push(WorkSent {
            worker,
            at: now,
            work,
        });
        let started = self.started[worker];
        let sent: f64 = self
            .work_sent
            .iter()
            .filter(|sent| {
                sent.worker == worker && sent.at + 1_000 * MS > now && sent.at >= started
            })
            .map(|sent| sent.work)
            .sum();
        let slow_start_factor = 0.2 + 0.8 * (now - started) as f64 / 10e9;
        let limit = 3.0 * self.max_capacity_per_size * 2.0 * SECOND * slow_start_factor * 0.5;
        assert!(
            started == 0 || slow_start_factor > 1.0 || sent < limit,
            "a warming worker overloaded"
        );
    }
}

impl Record {
    /// Returns the next event of the attempt in flight, if any.
    fn advance_attempt(&mut self, request_id: RequestId, now: Nanos, random: f64) -> Option<Event> {
        let attempt_index = self.in_flight[0].attempt_index;
        let outcome = match random {
            _ if self.answers == 0 && now >= self.deadline => Outcome::TimedOut,
            0.01..0.03 => Outcome::Succeeded,
            0.03..0.04 => Outcome::AtCapacity,
            0.04..0.05 => Outcome::ConnectFailed,
            0.05..0.06 => Outcome::WorkerError,
            0.06..0.07 => Outcome::ConnectionLost,
            0.07..0.2 => {
                return Some(Event::AttemptStarted {
                    request_id,
                    attempt_index,
                });
            }
            _ => return None,
        };
        let attempt = self.in_flight.remove(0);
        let complete = self.answers > 0 || outcome == Outcome::Succeeded;
        self.answers += usize::from(complete && self.answers == 0);
        if classify_outcome(outcome, AtCapacityMeaning::NotRun) == RequestInput::MayHaveRun {
            self.first_uncertain.get_or_insert(UncertainAttempt {
                worker: attempt.worker,
                sent_at: attempt.sent_at,
            });
        }
        Some(Event::AttemptEnded(AttemptEnded {
            request_id,
            attempt_index,
            outcome,
            complete,
            report: Report::default(),
        }))
    }

    fn add_attempt(&mut self, now: Nanos, worker: usize) {
        assert!(
            self.answers == 0 && now < self.deadline,
            "sent after its answer"
        );
        assert!(self.in_flight.is_empty(), "two attempts in flight");
        if let (1.., Some(first)) = (self.class, self.first_uncertain) {
            assert!(self.class == 1, "a non-idempotent request run twice");
            assert!(
                first.worker % 2 == worker % 2 && now < first.sent_at + 400 * MS,
                "outside the retry scope or window"
            );
        }
        self.in_flight.push(InFlight {
            attempt_index: self.sent,
            worker,
            sent_at: now,
        });
        self.sent += 1;
    }

    fn answer(&mut self, now: Nanos) {
        self.answers += 1;
        assert!(now <= self.deadline + STEP, "answered late");
    }
}

#[test_case(1, 6, 2)]
#[test_case(2, 6, 2)]
#[test_case(3, 6, 2)]
#[test_case(4, 1, 2; "one worker")]
#[test_case(5, 200, 600; "a large fleet")]
#[test_case(6, 60, 100; "most workers of the subset warm up")]
#[test_case(7, 6, 2; "with random load reports")]
#[test_case(8, 60, 100; "with random load reports, a large fleet")]
fn random_events_violate_no_rule(seed: u64, workers: u8, dispatchers: u32) {
    let mut model = Model::new(seed, workers, dispatchers);
    for step in 1..STEPS {
        model.step(step);
    }
    let mut records = model.requests.values();
    assert!(
        records.all(|record| record.answers == 1),
        "a request without exactly one answer"
    );
    let remaining = &model.dispatcher.requests;
    assert!(
        remaining.is_empty(),
        "not removed: {:?}",
        remaining.iter().next()
    );
    let mut records = model.requests.values();
    assert!(records.any(|record| record.sent > u8::from(workers > 1)));
}
