//! The hub, told things at given moments; what it says is to be done.
use super::{Effect, Engine, Input};
use crate::counters::Counters;
use crate::endpoints::EndpointTable;
use rosewall::Map;
use rosewall::policy::Dispatcher;
use rosewall::types::{EndpointState, Nanos, Outcome};
use rosewall_protocol::client::{Answer, ClientRequest};
use rosewall_protocol::discovery::{DiscoveredEndpoint, EndpointList};
use rosewall_protocol::worker::AttemptProgress;
use std::rc::Rc;
use test_case::test_case;

const MS: Nanos = 1_000_000;

/// One class with this effect, and one worker that is listed so, or none.
fn engine(effect: &str, state: Option<EndpointState>) -> Engine {
    let settings = [
        ("class.count", "1"),
        ("class.0.idempotency", effect),
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
    let map: Map = settings
        .iter()
        .map(|(name, value)| (name.to_string(), value.to_string()))
        .collect();
    let dispatcher = Dispatcher::start(0, 1, &map).unwrap();
    let mut engine = Engine::new(
        dispatcher,
        Rc::new(Counters::default()),
        250 * MS,
        EndpointTable::default(),
    );
    let entry = |state| DiscoveredEndpoint {
        host: "a".into(),
        address: Some(([127, 0, 0, 1], 9).into()),
        state,
        zone: 0,
        worker_type: 0,
        group: 0,
        size: 1.0,
        born: 0,
    };
    let endpoints = state.into_iter().map(entry).collect();
    engine.load_cached(
        0,
        EndpointList {
            version: 1,
            is_snapshot: true,
            endpoints,
        },
        &mut Vec::new(),
    );
    engine
}

fn request(id: &str) -> ClientRequest {
    ClientRequest {
        id: id.into(),
        timeout: 500 * MS,
        hint: Some(5 * MS),
        slots: 1.0,
        ..ClientRequest::default()
    }
}

/// The effects in words, in order.
fn words(effects: &mut Vec<Effect>) -> Vec<String> {
    let word = |effect| match effect {
        Effect::Answer { request_id, answer } => match answer {
            Answer::Succeeded(_) => format!("settled {request_id}"),
            Answer::Rejected { .. } => format!("declined {request_id}"),
            Answer::Failed => format!("reversed {request_id}"),
            Answer::DuplicateId => format!("known {request_id}"),
        },
        Effect::SendAttempt(attempt) => {
            format!("post {} {}", attempt.request_id, attempt.attempt_index)
        }
        Effect::CancelUnsent {
            request_id,
            attempt_index,
        } => format!("off {request_id} {attempt_index}"),
        Effect::Abort {
            request_id,
            attempt_index,
        } => format!("cut {request_id} {attempt_index}"),
        Effect::Finished {
            request_id,
            attempt_index,
        } => format!("done {request_id} {attempt_index}"),
        _ => "other".to_string(),
    };
    effects.drain(..).map(word).collect()
}

fn arrive(engine: &mut Engine, request_id: u32, id: &str) -> Vec<String> {
    let mut out = Vec::new();
    engine.handle(
        MS,
        Input::RequestArrived {
            request_id,
            at: MS,
            request: request(id),
        },
        &mut out,
    );
    words(&mut out)
}

#[test]
fn an_id_in_hand_or_posted_is_known_and_one_never_posted_is_not() {
    let mut one = engine("non-idempotent", Some(EndpointState::Ready));
    assert_eq!(
        (arrive(&mut one, 1, "a"), arrive(&mut one, 2, "a")),
        (vec!["post 1 0".into()], vec!["known 2".into()])
    );
    let mut out = Vec::new();
    one.handle(
        9 * MS,
        Input::AttemptProgress {
            request_id: 1,
            attempt_index: 0,
            progress: AttemptProgress::Succeeded(Vec::new()),
        },
        &mut out,
    );
    assert_eq!(
        (words(&mut out), one.active_request_count()),
        (vec!["settled 1".to_string(), "done 1 0".into()], 0)
    );
    assert_eq!(arrive(&mut one, 3, "a"), ["known 3"]);
}

/// What breaks after it may have run is not sent again where that could do harm.
#[test_case("non-idempotent", Outcome::ConnectionLost => vec!["done 1 0", "reversed 1"]; "once-only, may have run")]
#[test_case("non-idempotent", Outcome::AtCapacity => vec!["done 1 0", "post 1 1"]; "once-only, proven unrun")]
#[test_case("idempotent", Outcome::ConnectionLost => vec!["done 1 0", "post 1 1"]; "repeatable, may have run")]
fn what_follows_an_end(effect: &str, outcome: Outcome) -> Vec<&'static str> {
    let (mut engine, mut out) = (engine(effect, Some(EndpointState::Ready)), Vec::new());
    arrive(&mut engine, 1, "a");
    engine.handle(
        5 * MS,
        Input::AttemptProgress {
            request_id: 1,
            attempt_index: 0,
            progress: AttemptProgress::Ended(outcome),
        },
        &mut out,
    );
    let known = ["done 1 0", "reversed 1", "post 1 1", "declined 1"];
    words(&mut out)
        .iter()
        .map(|word| {
            *known
                .iter()
                .find(|known| *known == word)
                .unwrap_or(&"other")
        })
        .collect()
}

#[test]
fn a_client_that_leaves_has_its_posting_called_off_and_gets_no_answer() {
    let (mut engine, mut out) = (
        engine("non-idempotent", Some(EndpointState::Ready)),
        Vec::new(),
    );
    arrive(&mut engine, 1, "a");
    engine.handle(5 * MS, Input::ClientDisconnected(1), &mut out);
    assert_eq!(words(&mut out), ["off 1 0"]);
    engine.handle(
        6 * MS,
        Input::AttemptProgress {
            request_id: 1,
            attempt_index: 0,
            progress: AttemptProgress::Succeeded(Vec::new()),
        },
        &mut out,
    );
    assert_eq!(
        (words(&mut out), engine.active_request_count()),
        (vec!["done 1 0".to_string()], 0)
    );
}

#[test]
fn at_its_deadline_an_attempt_is_cut_and_the_request_answered_before_its_client_gives_up() {
    let (mut engine, mut out) = (
        engine("non-idempotent", Some(EndpointState::Ready)),
        Vec::new(),
    );
    arrive(&mut engine, 1, "a");
    let mut at = 0;
    while let Some(due) = engine.next_timer().filter(|due| *due < 2_000 * MS) {
        at = due;
        engine.fire_next_timer(due, &mut out);
        if !out.is_empty() {
            break;
        }
    }
    assert_eq!(
        (words(&mut out), at),
        (vec!["cut 1 0".to_string(), "reversed 1".into()], 481 * MS)
    );
}

#[test]
fn a_stop_brings_all_forward_to_its_moment() {
    let (mut engine, mut out) = (
        engine("non-idempotent", Some(EndpointState::Ready)),
        Vec::new(),
    );
    arrive(&mut engine, 1, "a");
    engine.handle(10 * MS, Input::ShutDown(100 * MS), &mut out);
    while engine.next_timer().is_some_and(|due| due <= 100 * MS) {
        engine.fire_next_timer(100 * MS, &mut out);
    }
    assert_eq!(
        (words(&mut out), engine.active_request_count()),
        (vec!["cut 1 0".to_string(), "reversed 1".into()], 0)
    );
}

#[test_case(None; "no worker is known")]
#[test_case(Some(EndpointState::Draining); "the only one drains")]
fn nothing_is_posted_without_a_worker_that_is_ready(state: Option<EndpointState>) {
    let mut engine = engine("non-idempotent", state);
    assert_eq!(arrive(&mut engine, 1, "a"), Vec::<String>::new());
}
