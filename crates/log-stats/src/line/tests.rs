//! Tests of each kind of line, in the current form and in that of versions up to 0.1.
use super::{Answer, AttemptOutcome, LogEvent, LogLine};

fn event(text: &str) -> Option<LogEvent<'_>> {
    LogLine::parse(text).map(|line| line.event)
}

fn outcome(word: &str) -> AttemptOutcome {
    match event(&format!("0.1 DEBUG at=5 request=1 attempt=0 ended {word}")) {
        Some(LogEvent::AttemptEnded { outcome }) => outcome,
        other => panic!("not the end of an attempt: {other:?}"),
    }
}

#[test]
fn reads_the_start_time_of_a_listed_host() {
    let line = LogLine::parse("0.0 DEBUG at=5 host=b listed Ready born=4");
    let event = LogEvent::EndpointListed {
        host: "b",
        started_at: 4,
    };
    assert_eq!(line, Some(LogLine { at: 5, event }));
}

#[test]
fn arrivals_and_attempts_are_read_in_both_forms() {
    for arrived in [
        "0.1 DEBUG at=5 request=1 arrived class=0 hint=5",
        "0.1 DEBUG at=5 txn=1 arrived scheme=0 hint=5",
    ] {
        assert_eq!(
            event(arrived),
            Some(LogEvent::RequestArrived { request: "1" })
        );
    }
    for sent in [
        "0.1 DEBUG at=5 request=1 attempt=0 sent host=b",
        "0.1 DEBUG at=5 txn=1 leg=0 posted host=b",
    ] {
        let expected = LogEvent::AttemptSent {
            request: "1",
            host: "b",
        };
        assert_eq!(event(sent), Some(expected));
    }
}

#[test]
fn answers_are_read_in_both_forms() {
    let answers = [
        ("Rejected { retry_after: 5 }", Answer::Rejected),
        ("Declined { come_back: 5 }", Answer::Rejected),
        ("Failed", Answer::Failed),
        ("Reversed", Answer::Failed),
    ];
    for (text, answer) in answers {
        let line = format!("0.1 DEBUG at=5 request=1 answered {text}");
        let expected = LogEvent::RequestAnswered {
            request: "1",
            answer,
        };
        assert_eq!(event(&line), Some(expected));
    }
}

#[test]
fn outcomes_are_read_in_both_forms() {
    let outcomes = [
        ("Succeeded", "Settled", AttemptOutcome::Succeeded),
        ("AtCapacity", "Full", AttemptOutcome::AtCapacity),
        (
            "ConnectFailed",
            "NoConnection",
            AttemptOutcome::ConnectFailed,
        ),
        ("ConnectionLost", "Broken", AttemptOutcome::ConnectionLost),
        ("TimedOut", "TimeOut", AttemptOutcome::TimedOut),
        ("WorkerError", "Error", AttemptOutcome::WorkerError),
        ("InvalidRequest", "Unfit", AttemptOutcome::Other),
        ("Cancelled", "Withdrawn", AttemptOutcome::Other),
        ("NotSent", "Moot", AttemptOutcome::Other),
    ];
    for (current, old, expected) in outcomes {
        assert_eq!((outcome(current), outcome(old)), (expected, expected));
    }
}

#[test]
fn ignores_incomplete_lines_and_lines_of_other_kinds() {
    for text in [
        "0.0 INFO listening on 127.0.0.1:1",
        "1.3 DEBUG at=64000",
        "1.3 DEBUG at=never request=1 arrived",
        "1.3 DEBUG at=5 request=1 attempt=0 started",
        "1.3 DEBUG at=5 request=1 attempt=0 ended",
        "1.3 DEBUG at=5 worker=1 arrived",
    ] {
        assert_eq!(LogLine::parse(text), None, "{text}");
    }
}
