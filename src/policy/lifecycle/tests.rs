use super::next;
use crate::policy::test_support::{MS, dispatcher, handle, request};
use crate::settings::Idempotency::{self, Idempotent, IdempotentWithKey, NonIdempotent};
use crate::state::RequestState::{Completed, InFlight, Pending, PendingMayHaveRun, RetryInFlight};
use crate::state::{RequestInput, RequestState, RequestStep};
use crate::timers::attempt_timer;
use crate::types::{Action, AttemptEnded, Event, Outcome, Report};
use test_case::test_case;

#[test_case(InFlight, RequestInput::NotRun, NonIdempotent => (Pending, RequestStep::Forward); "once only proven not run")]
#[test_case(InFlight, RequestInput::MayHaveRun, NonIdempotent => (Completed, RequestStep::Fail); "once only may have run")]
#[test_case(InFlight, RequestInput::MayHaveRun, Idempotent => (Pending, RequestStep::Forward); "repeatable runs again")]
#[test_case(InFlight, RequestInput::MayHaveRun, IdempotentWithKey => (PendingMayHaveRun, RequestStep::Forward); "referenced in its group")]
#[test_case(RetryInFlight, RequestInput::NotRun, IdempotentWithKey => (PendingMayHaveRun, RequestStep::Forward); "doubt stays")]
#[test_case(Pending, RequestInput::GivenUp, NonIdempotent => (Completed, RequestStep::Reject); "nothing out may be declined")]
#[test_case(PendingMayHaveRun, RequestInput::GivenUp, IdempotentWithKey => (Completed, RequestStep::Fail); "doubted is reversed")]
#[test_case(InFlight, RequestInput::GivenUp, Idempotent => (Completed, RequestStep::Fail); "deadline with an attempt out")]
#[test_case(Completed, RequestInput::Succeeded, Idempotent => (Completed, RequestStep::Nothing); "second outcome")]
#[test_case(Completed, RequestInput::MayHaveRun, NonIdempotent => (Completed, RequestStep::Nothing); "late outcome")]
#[test_case(Completed, RequestInput::ClientGone, IdempotentWithKey => (Completed, RequestStep::Nothing); "lapsed after its end")]
fn table(
    state: RequestState,
    input: RequestInput,
    idempotency: Idempotency,
) -> (RequestState, RequestStep) {
    next(state, input, idempotency)
}

/// A dispatcher that ends answers all by the moment given: guards against requests with later deadlines that are
/// posted again, or held, until it is killed.
#[test_case(0, true => vec!["decline"]; "a repeatable one that is out is not posted again")]
#[test_case(1, true => vec!["reverse"]; "a referenced one that is out")]
#[test_case(2, true => vec!["reverse"]; "a once-only one that is out")]
#[test_case(2, false => vec!["decline"]; "a once-only one that is held")]
fn closing_brings_expiries_forward(class: u8, out: bool) -> Vec<&'static str> {
    let mut d = dispatcher(if out { 2 } else { 0 });
    let attempts_sent = handle(
        &mut d,
        0,
        Event::RequestArrived(request(1, class, 100 * MS, 0)),
    );
    assert_eq!(attempts_sent.len(), usize::from(out));
    handle(&mut d, MS, Event::ShuttingDown { by: 50 * MS });
    let outcome = Outcome::TimedOut;
    let event = match out {
        true => Event::AttemptEnded(AttemptEnded {
            request_id: 1,
            attempt_index: 0,
            outcome,
            complete: false,
            report: Report::default(),
        }),
        false => Event::TimerFired {
            token: attempt_timer(1, 0),
        },
    };
    let word = |act: &Action| match act {
        Action::Reject { .. } => "decline",
        Action::Fail { .. } => "reverse",
        _ => "other",
    };
    handle(&mut d, 50 * MS, event).iter().map(word).collect()
}
