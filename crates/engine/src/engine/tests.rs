//! Tests of the engine: the effects of inputs at given times.
use super::{CachedListUse, Effect, Engine, Input};
use crate::counters::Counters;
use crate::endpoints::EndpointTable;
use rosewall::SettingsMap;
use rosewall::policy::Dispatcher;
use rosewall::types::{EndpointState, Nanos, Outcome, RequestId};
use rosewall_protocol::client::{Answer, ClientRequest};
use rosewall_protocol::discovery::{DiscoveredEndpoint, EndpointList};
use rosewall_protocol::worker::AttemptProgress;
use std::rc::Rc;
use test_case::test_case;

const MILLISECOND: Nanos = 1_000_000;
const REQUEST_TIMEOUT: Nanos = 500 * MILLISECOND;

const SETTINGS: &[(&str, &str)] = &[
    ("class.count", "1"),
    ("class.0.retry_scope", "all"),
    ("class.0.latency_objective", "400000000"),
    ("class.0.retry_window", "5000000000"),
    ("class.0.priority_weight", "1"),
    ("me", "0"),
    ("dispatchers", "1"),
    ("retry_after.allowed", "true"),
    ("retry_after.max", "2000000000"),
    ("health_check.allowed", "false"),
    ("start_notes", "true"),
    ("slow_start.from", "0.2"),
    ("slow_start.duration", "1000000000"),
    ("overload.multiple", "4"),
    ("overload.window", "1000000000"),
    ("attempts.max", "3"),
    ("report.fields", ""),
    ("endpoints.mode", "pushed"),
];

fn settings(idempotency: &str) -> SettingsMap {
    let mut settings: SettingsMap = SETTINGS
        .iter()
        .map(|(name, value)| (name.to_string(), value.to_string()))
        .collect();
    settings.insert("class.0.idempotency".into(), idempotency.into());
    settings
}

pub(crate) fn worker(state: EndpointState) -> DiscoveredEndpoint {
    DiscoveredEndpoint {
        host: "a".into(),
        address: Some(([127, 0, 0, 1], 9).into()),
        state,
        zone: 0,
        worker_type: 0,
        group: 0,
        size: 1.0,
        started_at: 0,
    }
}

fn request(id: &str) -> ClientRequest {
    ClientRequest {
        id: id.into(),
        timeout: REQUEST_TIMEOUT,
        hint: Some(5 * MILLISECOND),
        slots: 1.0,
        ..ClientRequest::default()
    }
}

/// Engine under test, with effects described as short texts.
pub(crate) struct Fixture {
    pub(crate) engine: Engine,
}

impl Fixture {
    /// Creates an engine with one class of this idempotency, and one worker in this state or none.
    fn new(idempotency: &str, worker_state: Option<EndpointState>) -> Self {
        let endpoints = worker_state.into_iter().map(worker).collect();
        Fixture::with_cached_list(idempotency, endpoints, CachedListUse::UntilChanged)
    }

    pub(crate) fn with_cached_list(
        idempotency: &str,
        endpoints: Vec<DiscoveredEndpoint>,
        usage: CachedListUse,
    ) -> Self {
        let dispatcher = Dispatcher::start(0, 1, &settings(idempotency)).unwrap();
        let mut engine = Engine::new(
            dispatcher,
            Rc::new(Counters::default()),
            250 * MILLISECOND,
            EndpointTable::default(),
            1,
        );
        let list = EndpointList {
            version: 1,
            is_snapshot: true,
            endpoints,
        };
        engine.load_cached(0, list, usage, &mut Vec::new());
        Fixture { engine }
    }

    fn non_idempotent_with_ready_worker() -> Self {
        Fixture::new("non-idempotent", Some(EndpointState::Ready))
    }

    pub(crate) fn handle(&mut self, at_ms: u64, input: Input) -> Vec<String> {
        let mut effects = Vec::new();
        self.engine.handle(at_ms * MILLISECOND, input, &mut effects);
        effects.into_iter().map(describe).collect()
    }

    /// Handles a request with client id `id` that arrives at 1 ms.
    fn send_request(&mut self, request_id: RequestId, id: &str) -> Vec<String> {
        self.send_request_at(1, request_id, id)
    }

    pub(crate) fn send_request_at(
        &mut self,
        at_ms: u64,
        request_id: RequestId,
        id: &str,
    ) -> Vec<String> {
        self.send(at_ms, request_id, request(id))
    }

    pub(crate) fn send_request_with_body(
        &mut self,
        request_id: RequestId,
        id: &str,
        body: &[u8],
    ) -> Vec<String> {
        let request = ClientRequest {
            body: body.to_vec(),
            ..request(id)
        };
        self.send(1, request_id, request)
    }

    fn send(&mut self, at_ms: u64, request_id: RequestId, request: ClientRequest) -> Vec<String> {
        let arrived = Input::RequestArrived {
            request_id,
            at: at_ms * MILLISECOND,
            request,
        };
        self.handle(at_ms, arrived)
    }

    /// Returns the size of the content that is held for an active request.
    pub(crate) fn held_bytes(&self, request_id: RequestId) -> usize {
        let active = self.engine.requests.get(request_id);
        active.map_or(0, |active| active.request.held_bytes())
    }

    /// Fires all timers up to this time.
    pub(crate) fn run_until(&mut self, until_ms: u64) -> Vec<String> {
        let mut effects = Vec::new();
        while let Some(timer) = self.engine.next_timer()
            && timer <= until_ms * MILLISECOND
        {
            self.engine.fire_next_timer(timer, &mut effects);
        }
        effects.into_iter().map(describe).collect()
    }

    /// Handles progress of the first attempt of request 1.
    fn progress_first_attempt(&mut self, at_ms: u64, progress: AttemptProgress) -> Vec<String> {
        let input = Input::AttemptProgress {
            request_id: 1,
            attempt_index: 0,
            progress,
        };
        self.handle(at_ms, input)
    }

    fn active_requests(&self) -> usize {
        self.engine.active_request_count()
    }
}

fn describe(effect: Effect) -> String {
    match effect {
        Effect::Answer { request_id, answer } => match answer {
            Answer::Succeeded(_) => format!("succeeded {request_id}"),
            Answer::Rejected { .. } => format!("rejected {request_id}"),
            Answer::Failed => format!("failed {request_id}"),
            Answer::DuplicateId => format!("duplicate {request_id}"),
        },
        Effect::SendAttempt(attempt) => {
            format!("send {} {}", attempt.request_id, attempt.attempt_index)
        }
        Effect::CancelUnsent {
            request_id,
            attempt_index,
        } => format!("cancel {request_id} {attempt_index}"),
        Effect::Abort {
            request_id,
            attempt_index,
        } => format!("abort {request_id} {attempt_index}"),
        Effect::Finished {
            request_id,
            attempt_index,
        } => format!("finished {request_id} {attempt_index}"),
        Effect::AdvanceSendDeadline {
            request_id,
            attempt_index,
            send_by,
        } => format!(
            "send {request_id} {attempt_index} by {}",
            send_by / MILLISECOND
        ),
        _ => "other".to_string(),
    }
}

#[test]
fn an_id_that_is_active_or_was_sent_is_a_duplicate() {
    let mut fixture = Fixture::non_idempotent_with_ready_worker();

    assert_eq!(fixture.send_request(1, "a"), ["send 1 0"]);
    assert_eq!(fixture.send_request(2, "a"), ["duplicate 2"]);
    assert_eq!(
        fixture.progress_first_attempt(9, AttemptProgress::Succeeded(Vec::new())),
        ["succeeded 1", "finished 1 0"]
    );
    assert_eq!(fixture.active_requests(), 0);
    assert_eq!(fixture.send_request(3, "a"), ["duplicate 3"]);
}

#[test_case("non-idempotent", Outcome::ConnectionLost, &["finished 1 0", "failed 1"]; "non-idempotent, may have run")]
#[test_case("non-idempotent", Outcome::AtCapacity, &["finished 1 0", "send 1 1"]; "non-idempotent, proven not to have run")]
#[test_case("idempotent", Outcome::ConnectionLost, &["finished 1 0", "send 1 1"]; "idempotent, may have run")]
fn a_request_that_may_have_run_is_retried_only_if_idempotent(
    idempotency: &str,
    outcome: Outcome,
    expected: &[&str],
) {
    let mut fixture = Fixture::new(idempotency, Some(EndpointState::Ready));
    fixture.send_request(1, "a");

    let effects = fixture.progress_first_attempt(5, AttemptProgress::Ended(outcome));

    assert_eq!(effects, expected);
}

#[test]
fn a_client_that_disconnects_has_its_attempt_cancelled_and_gets_no_answer() {
    let mut fixture = Fixture::non_idempotent_with_ready_worker();
    fixture.send_request(1, "a");

    assert_eq!(
        fixture.handle(5, Input::ClientDisconnected(1)),
        ["cancel 1 0"]
    );
    assert_eq!(
        fixture.progress_first_attempt(6, AttemptProgress::Succeeded(Vec::new())),
        ["finished 1 0"]
    );
    assert_eq!(fixture.active_requests(), 0);
}

#[test]
fn at_its_deadline_an_attempt_is_aborted_and_the_request_answered_before_its_client_gives_up() {
    let mut fixture = Fixture::non_idempotent_with_ready_worker();
    fixture.send_request(1, "a");

    let mut effects = Vec::new();
    let mut answered_at = 0;
    while let Some(timer) = fixture.engine.next_timer()
        && timer < 2_000 * MILLISECOND
        && effects.is_empty()
    {
        answered_at = timer;
        fixture.engine.fire_next_timer(timer, &mut effects);
    }

    let effects: Vec<_> = effects.into_iter().map(describe).collect();
    assert_eq!(effects, ["abort 1 0", "failed 1"]);
    assert_eq!(answered_at, 481 * MILLISECOND);
}

#[test]
fn a_shutdown_brings_deadlines_forward_to_its_own() {
    let mut fixture = Fixture::non_idempotent_with_ready_worker();
    fixture.send_request(1, "a");
    let shutdown_deadline = 100 * MILLISECOND;

    let effects = fixture.handle(10, Input::ShutDown(shutdown_deadline));
    assert_eq!(effects, ["send 1 0 by 100"]);
    let mut effects = Vec::new();
    while fixture
        .engine
        .next_timer()
        .is_some_and(|timer| timer <= shutdown_deadline)
    {
        fixture
            .engine
            .fire_next_timer(shutdown_deadline, &mut effects);
    }

    let effects: Vec<_> = effects.into_iter().map(describe).collect();
    assert_eq!(effects, ["abort 1 0", "failed 1"]);
    assert_eq!(fixture.active_requests(), 0);
}

#[test_case(None; "no worker is known")]
#[test_case(Some(EndpointState::Draining); "the only worker is draining")]
fn nothing_is_sent_without_a_worker_that_is_ready(worker_state: Option<EndpointState>) {
    let mut fixture = Fixture::new("non-idempotent", worker_state);
    assert_eq!(fixture.send_request(1, "a"), Vec::<String>::new());
}
