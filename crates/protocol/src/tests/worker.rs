//! Tests of encoding attempts and of reading the answers to attempts and health checks.
use super::{DONE_LINE, FAILED_LINE, STARTED_LINE, attempt_progress, list_of, streamed_response};
use crate::client::ClientRequest;
use crate::http::MAX_BODY_BYTES;
use crate::worker::{
    AttemptProgress, AttemptResponseReader, EncodedRequest, HealthCheckReader, HealthCheckResult,
};
use rosewall::types::{Outcome, Report};
use test_case::test_case;

fn done() -> AttemptProgress {
    AttemptProgress::Succeeded(b"a \"b\"".to_vec())
}

#[test]
fn an_attempt_carries_target_id_timeout_and_body() {
    let request = ClientRequest {
        target: "/api?q".into(),
        id: "9b1f".into(),
        body: b"body".to_vec(),
        ..ClientRequest::default()
    };
    let encoded = EncodedRequest::new("w", &request, 1_250_000_000);
    assert_eq!(
        std::str::from_utf8(encoded.bytes()).unwrap(),
        "POST /api?q HTTP/1.1\r\nHost: w\r\nRequest-Id: 9b1f\r\nRequest-Timeout: 1.250\r\nContent-Length: 4\r\n\r\nbody"
    );
}

/// An attempt that waited for its connection must not tell its worker the time that was left before.
#[test_case(1_250_000_000, 999_000_000, "0.999"; "as long as before")]
#[test_case(10_250_000_000, 9_999_600_000, "10.000"; "rounded")]
#[test_case(12_000_000_000, 7_000_000, "0.007"; "shorter than before")]
#[test_case(7_000_000, u64::MAX, "18446744073.710"; "longer than before")]
fn the_timeout_of_an_encoded_request_can_be_replaced(before: u64, after: u64, value: &str) {
    let request = ClientRequest {
        id: "9b1f".into(),
        body: b"body".to_vec(),
        ..ClientRequest::default()
    };
    let mut encoded = EncodedRequest::new("w", &request, before);
    encoded.set_timeout(after);
    assert_eq!(
        encoded.bytes(),
        EncodedRequest::new("w", &request, after).bytes()
    );
    let text = std::str::from_utf8(encoded.bytes()).unwrap();
    assert!(
        text.contains(&format!("\r\nRequest-Timeout: {value}\r\n")),
        "{text}"
    );
}

#[test_case(&[STARTED_LINE, DONE_LINE] => vec![AttemptProgress::Started, done()]; "started and done")]
#[test_case(&[DONE_LINE, FAILED_LINE, STARTED_LINE] => vec![done()]; "only the first end counts")]
#[test_case(&["\n", "{\"id\":\"id\",\"state\":\"new\"}\n", DONE_LINE] => vec![done()]; "empty lines and unknown states are ignored")]
#[test_case(&[STARTED_LINE, FAILED_LINE] => vec![AttemptProgress::Started, AttemptProgress::Ended(Outcome::WorkerError)]; "failed")]
#[test_case(&[DONE_LINE.trim_ascii_end()] => vec![done()]; "a last line without its end")]
#[test_case(&[STARTED_LINE] => vec![AttemptProgress::Started, AttemptProgress::Ended(Outcome::ConnectionLost)]; "no last line")]
#[test_case(&["{\"id\":\"id\",\"state\":\"returned\"}\n"] => vec![AttemptProgress::Ended(Outcome::AtCapacity)]; "returned")]
fn lines_are_read_however_their_bytes_are_split(lines: &[&str]) -> Vec<AttemptProgress> {
    let (progress, reader) = attempt_progress(&streamed_response(lines), 10_000);
    assert!(reader.is_reusable());
    for size in [1, 3, 17] {
        assert_eq!(
            attempt_progress(&streamed_response(lines), size).0,
            progress,
            "{size}"
        );
    }
    progress
}

#[test_case("HTTP/1.1 503 x\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n", Outcome::AtCapacity, true; "not started")]
#[test_case("HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n", Outcome::WorkerError, true; "may have started")]
#[test_case("HTTP/1.1 500 x\r\nContent-Length: 2\r\n\r\nno", Outcome::WorkerError, true; "with a body")]
#[test_case("HTTP/1.1 100 x\r\n\r\nHTTP/1.1 500 x\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", Outcome::WorkerError,
            false; "after an interim answer, to be closed")]
#[test_case("HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\nmore", Outcome::WorkerError, false; "with more after it")]
#[test_case("nothing of the kind\r\n\r\n", Outcome::ConnectionLost, false; "no head")]
fn the_status_of_an_answer_determines_the_outcome(text: &str, outcome: Outcome, reusable: bool) {
    let (progress, reader) = attempt_progress(text.as_bytes(), 10_000);
    assert_eq!(
        (progress, reader.is_finished(), reader.is_reusable()),
        (vec![AttemptProgress::Ended(outcome)], true, reusable)
    );
}

#[test_case(&streamed_response(&[STARTED_LINE])[..60], Some(AttemptProgress::Ended(Outcome::ConnectionLost)); "before the end")]
#[test_case(&streamed_response(&[DONE_LINE]), None; "after it")]
fn a_closed_connection_ends_an_attempt_that_has_not_ended(
    bytes: &[u8],
    expected: Option<AttemptProgress>,
) {
    let (_, mut reader) = attempt_progress(bytes, 10_000);
    assert_eq!(reader.connection_closed(), expected);
}

#[test]
fn an_endless_line_is_cut_off_at_the_body_limit() {
    let mut reader = AttemptResponseReader::new("id".into());
    reader.feed(b"HTTP/1.1 200 OK\r\n\r\n");
    let piece = vec![b'x'; 4096];
    let pieces_fed = (0..100).find(|_| {
        reader.feed(&piece);
        reader.next_progress() == Some(AttemptProgress::Ended(Outcome::ConnectionLost))
    });
    assert!(pieces_fed.is_some_and(|count| count * piece.len() <= MAX_BODY_BYTES));
}

#[test_case("x0=0.5,inflight=3\n", "inflight,x0" => (2, [3.0, 0.5, 0.0, 0.0]); "in the order of the fields")]
#[test_case("x0=0.5", "inflight,x0" => (0, [0.0; 4]); "one is missing")]
#[test_case("x0=NaN", "x0" => (0, [0.0; 4]); "no number")]
fn a_health_check_returns_the_load_report(body: &str, fields: &str) -> (usize, [f32; 4]) {
    let fields = list_of(fields);
    let answer = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let result = HealthCheckReader::new(&fields).feed(answer.as_bytes());
    let Some(HealthCheckResult {
        outcome: Outcome::Succeeded,
        report: Report { count, values },
        reusable: true,
    }) = result
    else {
        panic!("{result:?}")
    };
    (count, values)
}
