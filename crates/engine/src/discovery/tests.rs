//! Tests of the discovery client: one for each state of `docs/discovery.md`, and random histories.
use super::{CallFailure, CallId, DiscoveryClient, Effect, ListCall, ListVersion};
use crate::config::EndpointsMode::{self, Polled, Pushed};
use rosewall::pcg::Pcg;
use rosewall::policy::poll_backoff;
use rosewall::types::Nanos;
use std::net::SocketAddr;
use test_case::test_case;

const MS: Nanos = 1_000_000;
const SECOND: Nanos = 1_000 * MS;

/// Addresses of the services, by index.
fn service(index: usize) -> SocketAddr {
    ([127, 0, 0, 1], 8500 + index as u16).into()
}

/// A client of service 0, its clock, and the calls in progress.
struct Model {
    client: DiscoveryClient,
    now: Nanos,
    calls: Vec<ListCall>,
    reported_failures: usize,
}

impl Model {
    fn start(mode: EndpointsMode, known_version: Option<u64>) -> Model {
        let mut model = Model {
            client: DiscoveryClient::new(mode, service(0), known_version, 7),
            now: 0,
            calls: Vec::new(),
            reported_failures: 0,
        };
        model.apply(|client, now, effects| client.start(now, effects));
        model
    }

    /// Starts a client that watches service 0 from version 1.
    fn watching(mode: EndpointsMode) -> Model {
        let mut model = Model::start(mode, None);
        model.permit();
        model.list(0, 1);
        model
    }

    fn apply<T>(
        &mut self,
        change: impl FnOnce(&mut DiscoveryClient, Nanos, &mut Vec<Effect>) -> T,
    ) -> T {
        let mut effects = Vec::new();
        let result = change(&mut self.client, self.now, &mut effects);
        for effect in effects {
            match effect {
                Effect::Start(call) => self.calls.push(call),
                Effect::Cancel(id) => self.calls.retain(|call| call.id != id),
                Effect::ReportFailure => self.reported_failures += 1,
            }
        }
        result
    }

    fn permit(&mut self) {
        self.apply(|client, now, effects| client.poll_permitted(now, effects));
    }

    fn move_to(&mut self, index: usize) {
        self.apply(|client, now, effects| client.moved(now, service(index), effects));
    }

    /// Advances the clock to `until`, firing each timer at its time.
    fn run_until(&mut self, until: Nanos) {
        while let Some(at) = self.client.next_timer().filter(|at| *at <= until) {
            self.now = at.max(self.now);
            self.apply(|client, now, effects| client.fire_timers(now, effects));
        }
        self.now = until;
    }

    fn run_for(&mut self, time: Nanos) {
        self.run_until(self.now + time);
    }

    fn calls_to(&self, index: usize) -> Vec<ListCall> {
        let address = service(index);
        let calls = self.calls.iter().copied();
        calls.filter(|call| call.address == address).collect()
    }

    fn waits_of_calls_to(&self, index: usize) -> Vec<Option<u64>> {
        let calls = self.calls_to(index).into_iter();
        calls
            .map(|call| call.watch.map(|watch| watch.wait_ms))
            .collect()
    }

    /// Answers a call with a snapshot. Returns whether the list is applied.
    fn answer(&mut self, id: CallId, version: u64) -> bool {
        self.calls.retain(|call| call.id != id);
        let list = ListVersion {
            version,
            is_snapshot: true,
        };
        self.apply(|client, now, effects| client.list_received(now, id, list, effects))
    }

    /// Answers the oldest call to a service with a snapshot.
    fn list(&mut self, index: usize, version: u64) -> bool {
        let call = self.calls_to(index)[0].id;
        self.answer(call, version)
    }

    fn fail(&mut self, id: CallId, failure: CallFailure) {
        self.calls.retain(|call| call.id != id);
        self.apply(|client, now, effects| client.call_failed(now, id, failure, effects));
    }

    /// Closes the connections of all calls to a service.
    fn close(&mut self, index: usize) {
        for call in self.calls_to(index) {
            self.fail(call.id, CallFailure::Broken);
        }
    }
}

#[test]
fn a_pushed_list_is_requested_at_the_start() {
    let model = Model::start(Pushed, Some(4));
    assert_eq!(model.waits_of_calls_to(0), [None]);
}

#[test]
fn a_polled_list_awaits_its_permit_and_is_watched_from_the_cached_version() {
    let mut model = Model::start(Polled, Some(4));
    model.run_for(60 * SECOND);
    assert_eq!(model.calls, []);
    model.permit();
    let watch = model.calls[0].watch.unwrap();
    assert_eq!((watch.version, watch.wait_ms), (4, 20_000));
}

#[test]
fn a_permit_during_a_call_starts_no_other() {
    let mut model = Model::watching(Polled);
    model.permit();
    assert_eq!(model.calls.len(), 1);
}

/// A service that returns without a record of earlier calls must be heard by a new one.
#[test_case(Pushed, 200 * MS, 5; "pushed")]
#[test_case(Polled, 3 * SECOND, 3; "polled")]
fn an_unanswered_call_is_repeated_and_the_oldest_is_kept(
    mode: EndpointsMode,
    interval: Nanos,
    max_calls: usize,
) {
    let mut model = Model::start(mode, None);
    model.permit();
    let oldest = model.calls[0].id;
    for count in 2..=max_calls {
        model.run_for(interval);
        assert_eq!(model.calls.len(), count.min(max_calls));
    }
    let newest = model.calls.last().unwrap().id;
    assert_eq!(model.calls[0].id, oldest);
    model.run_for(interval - 1);
    assert_eq!(model.calls.last().unwrap().id, newest);
    model.run_for(1);
    assert!(model.calls.last().unwrap().id > newest);
    assert!(model.calls.len() <= max_calls);
}

/// An agent that needs 1.5 s for an answer would never be heard if each call ended after 1 s.
#[test]
fn a_service_that_answers_late_is_heard() {
    let mut model = Model::start(Pushed, None);
    let first = model.calls[0].id;
    model.run_for(4_900 * MS);
    assert!(model.answer(first, 1));
    assert_eq!(model.waits_of_calls_to(0), [Some(2_000)]);
}

#[test]
fn an_answer_that_has_begun_is_read_without_further_calls() {
    let mut model = Model::start(Pushed, None);
    let first = model.calls[0].id;
    model.run_for(100 * MS);
    model.client.answer_begun(model.now, first);
    model.run_for(4_900 * MS);
    assert_eq!(model.calls.len(), 1);
    model.run_for(200 * MS);
    assert!(model.calls.iter().all(|call| call.id != first));
    assert_eq!(model.calls.len(), 1);
}

#[test_case(Pushed, 2_200 * MS, None; "pushed")]
#[test_case(Polled, 20_500 * MS, Some(200); "polled")]
fn a_silent_watch_is_kept_while_the_service_is_called_again(
    mode: EndpointsMode,
    after: Nanos,
    wait_ms: Option<u64>,
) {
    let mut model = Model::watching(mode);
    model.run_for(after - 1);
    assert_eq!(model.calls.len(), 1);
    let watch = model.calls[0].id;
    model.run_for(1);
    assert_eq!(model.waits_of_calls_to(0)[1], wait_ms);
    assert!(model.answer(watch, 2));
    assert_eq!(model.calls.len(), 1);
}

#[test]
fn a_list_of_a_call_that_was_given_up_is_not_applied() {
    let mut model = Model::watching(Pushed);
    model.run_for(2_200 * MS);
    let [watch, snapshot] = model.calls[..] else {
        panic!("{:?}", model.calls)
    };
    assert!(model.answer(snapshot.id, 3));
    assert!(!model.answer(watch.id, 2));
}

#[test]
fn a_broken_call_for_a_pushed_list_is_repeated_after_a_pause() {
    let mut model = Model::watching(Pushed);
    model.close(0);
    model.run_for(50 * MS - 1);
    assert_eq!(model.calls, []);
    model.run_for(1);
    assert_eq!(model.waits_of_calls_to(0), [None]);
    assert_eq!(model.reported_failures, 0);
}

#[test]
fn a_broken_call_for_a_polled_list_awaits_a_permit_and_is_confirmed_with_a_short_watch() {
    let mut model = Model::watching(Polled);
    model.close(0);
    model.run_for(60 * SECOND);
    assert_eq!((model.reported_failures, model.calls.len()), (1, 0));
    model.permit();
    assert_eq!(model.waits_of_calls_to(0), [Some(200)]);
    model.list(0, 1);
    assert_eq!(model.waits_of_calls_to(0), [Some(20_000)]);
}

#[test]
fn a_polled_answer_that_stops_half_way_is_requested_again_at_once() {
    let mut model = Model::watching(Polled);
    model.fail(model.calls[0].id, CallFailure::TimedOut);
    assert_eq!((model.reported_failures, model.calls.len()), (0, 1));
}

#[test]
fn a_snapshot_is_requested_after_a_malformed_list() {
    let mut model = Model::watching(Polled);
    model.fail(model.calls[0].id, CallFailure::Malformed);
    model.permit();
    assert_eq!(model.waits_of_calls_to(0), [None]);
}

#[test]
fn a_snapshot_is_requested_after_a_delta_with_a_lower_version() {
    let mut model = Model::start(Polled, Some(9));
    model.permit();
    let call = model.calls.remove(0).id;
    let delta = ListVersion {
        version: 1,
        is_snapshot: false,
    };
    model.apply(|client, now, effects| client.list_received(now, call, delta, effects));
    assert_eq!(model.waits_of_calls_to(0), [None]);
}

#[test_case(Pushed)]
#[test_case(Polled)]
fn the_first_list_of_a_new_service_replaces_the_current_one(mode: EndpointsMode) {
    let mut model = Model::watching(mode);
    model.move_to(1);
    let old = model.calls_to(0)[0].id;
    assert_eq!(model.waits_of_calls_to(1), [None]);
    assert!(model.list(1, 5));
    assert_eq!((model.calls_to(0).len(), model.calls_to(1).len()), (0, 1));
    assert!(!model.answer(old, 2));
}

#[test_case(Pushed)]
#[test_case(Polled)]
fn the_current_service_is_followed_until_the_new_one_has_a_list(mode: EndpointsMode) {
    let mut model = Model::watching(mode);
    model.move_to(1);
    assert!(model.list(0, 2));
    assert_eq!(model.calls_to(0).len(), 1);
}

/// Guards against a new service that is never called again once it and the old one have failed: the
/// policy's permits, given to the old one, were all that either could be called with.
#[test]
fn a_new_service_that_was_out_of_reach_is_called_again_without_a_permit() {
    let mut model = Model::watching(Polled);
    model.move_to(1);
    model.close(1);
    model.close(0);
    for _ in 0..6 {
        model.permit();
        assert_eq!(model.calls_to(0).len(), 1);
        model.close(0);
        let failed_at = model.now;
        while model.calls_to(1).is_empty() {
            model.run_until(model.client.next_timer().unwrap());
        }
        assert!(model.now - failed_at <= 4_500 * MS);
        model.close(1);
    }
}

/// Guards against a new service that is forgotten when the old one, still up, brings a list.
#[test]
fn a_list_of_the_current_service_leaves_the_retries_of_the_new_one() {
    let mut model = Model::watching(Polled);
    model.move_to(1);
    model.close(1);
    model.list(0, 2);
    model.run_for(SECOND);
    assert_eq!(model.calls_to(1).len(), 1);
}

#[test_case(Pushed)]
#[test_case(Polled)]
fn of_several_new_services_the_newest_is_called(mode: EndpointsMode) {
    let mut model = Model::watching(mode);
    model.move_to(1);
    model.move_to(2);
    assert_eq!(
        [0, 1, 2].map(|index| model.calls_to(index).len()),
        [1, 0, 1]
    );
}

#[test]
fn a_configuration_with_the_current_address_ends_the_calls_to_another() {
    let mut model = Model::watching(Polled);
    model.move_to(1);
    model.close(0);
    model.move_to(0);
    assert_eq!((model.calls_to(0).len(), model.calls_to(1).len()), (1, 0));
}

#[test]
fn a_configuration_with_the_same_new_address_calls_it_at_once() {
    let mut model = Model::watching(Polled);
    model.move_to(1);
    model.close(1);
    model.move_to(1);
    assert_eq!(model.calls_to(1).len(), 1);
}

/// What a service does with the calls that reach it.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Behaviour {
    Answers,
    Closes,
    /// Never answers a call that reached it before it changed its behaviour.
    Silent,
}

/// A client with three services that behave at random, and the policy's permits.
struct RandomHistory {
    model: Model,
    rng: Pcg,
    behaviours: [Behaviour; 3],
    /// First call that the services may still answer.
    first_known_call: CallId,
    permit_at: Option<Nanos>,
    failures: u32,
    newest: usize,
    version: u64,
}

impl RandomHistory {
    fn new(mode: EndpointsMode, seed: u64) -> RandomHistory {
        RandomHistory {
            model: Model::start(mode, None),
            rng: Pcg::new(seed),
            behaviours: [Behaviour::Answers; 3],
            first_known_call: 0,
            permit_at: (mode == Polled).then_some(0),
            failures: 0,
            newest: 0,
            version: 1,
        }
    }

    fn below(&mut self, limit: usize) -> usize {
        (self.rng.unit() * limit as f64) as usize
    }

    /// Advances by 10 ms. Returns the service of a list that was applied.
    fn step(&mut self) -> Option<usize> {
        self.model.run_for(10 * MS);
        if self.permit_at.take_if(|at| *at <= self.model.now).is_some() {
            self.model.permit();
        }
        let mut applied = None;
        for call in self.model.calls.clone() {
            let index = usize::from(call.address.port() - 8500);
            if self.model.calls.iter().all(|open| open.id != call.id) {
                continue;
            }
            let is_short = call.watch.is_none_or(|watch| watch.wait_ms < 1_000);
            match self.behaviours[index] {
                Behaviour::Answers
                    if is_short
                        && call.id >= self.first_known_call
                        && self.model.answer(call.id, self.version) =>
                {
                    self.failures = 0;
                    applied = Some(index);
                }
                Behaviour::Closes => self.model.fail(call.id, CallFailure::Broken),
                _ => {}
            }
        }
        if std::mem::take(&mut self.model.reported_failures) > 0 {
            let pause = poll_backoff(self.failures, self.rng.unit());
            self.failures += 1;
            self.permit_at = Some(self.model.now + pause);
        }
        applied
    }

    fn change(&mut self) {
        let index = self.below(3);
        match self.below(5) {
            0 => self.behaviours[index] = Behaviour::Answers,
            1 => self.behaviours[index] = Behaviour::Closes,
            2 => self.behaviours[index] = Behaviour::Silent,
            3 => self.forget_calls(),
            _ => {
                self.newest = index;
                self.model.move_to(index);
            }
        }
    }

    /// Lets the services forget the calls in progress, which stay open.
    fn forget_calls(&mut self) {
        self.first_known_call = self.model.client.last_call + 1;
    }
}

/// Whatever services, outages and configurations came before: once the newest service can be
/// reached, its list is applied within the bound, or a watch that it has forgotten is replaced within 22 s.
#[test_case(Pushed, 3 * SECOND; "pushed")]
#[test_case(Polled, 4_600 * MS; "polled")]
fn the_newest_service_is_heard_in_time_after_any_history(mode: EndpointsMode, bound: Nanos) {
    for seed in 0..2_000 {
        let mut history = RandomHistory::new(mode, seed);
        for _ in 0..history.below(12) {
            history.change();
            for _ in 0..history.below(1_500) {
                history.step();
            }
        }
        history.behaviours[history.newest] = Behaviour::Answers;
        let reachable_at = history.model.now;
        // A watch that is open now was answered by the service; it may be silent for its wait.
        let is_watched = history
            .model
            .calls_to(history.newest)
            .iter()
            .any(|call| call.watch.is_some_and(|watch| watch.wait_ms >= 1_000));
        let bound = if is_watched { 22 * SECOND } else { bound };
        history.forget_calls();
        while history.step() != Some(history.newest) {
            let waited = history.model.now - reachable_at;
            assert!(waited <= bound, "seed {seed}: no list after {waited} ns");
        }
    }
}
