//! Tests of reading the requests of clients and encoding the answers.
use super::{REQUEST_HEAD, client_events};
use crate::client::{Answer, ClientEvent, ClientRequest, ReadTimes, encode_answer};
use crate::http::{HttpError, MAX_HEAD_BYTES, ReadBuffer};
use crate::names::index_of_name;
use test_case::test_case;

fn expected_request(body: &str) -> ClientEvent {
    ClientEvent::Request(ClientRequest {
        target: "/api/x?y=%20".into(),
        id: "9b1f".into(),
        idempotency_key: "43 66".into(),
        class: 1,
        tenant: 1,
        timeout: 480_000_000,
        hint: Some(250_000),
        slots: 2.0,
        memory: 0.5,
        body: body.as_bytes().to_vec(),
        keep_alive: true,
    })
}

#[test_case("Content-Length: 5\r\n\r\nhello", "hello"; "by length")]
#[test_case("\r\n", ""; "no body")]
#[test_case("Transfer-Encoding: chunked\r\n\r\n3;x=y\r\nhel\r\n2\r\nlo\r\n0\r\nTrailer: z\r\n\r\n", "hello"; "chunked")]
fn requests_are_read_however_their_bytes_are_split(rest: &str, body: &str) {
    let two_requests = [REQUEST_HEAD, rest, "\r\n", REQUEST_HEAD, rest].concat();
    for size in [1, 2, 7, 64, 10_000] {
        assert_eq!(
            client_events(two_requests.as_bytes(), size),
            [expected_request(body), expected_request(body)],
            "{size}"
        );
    }
}

/// A request that waits behind another one has its time from when its own last byte was read.
#[test]
fn bytes_have_the_times_at_which_they_were_read() {
    const SECOND: u64 = 1_000_000_000;
    let mut times = ReadTimes::default();
    assert_eq!(times.time_before(0), None);
    times.record(SECOND, 100);
    times.record(SECOND + 1, 50);
    times.record(3 * SECOND, 10);

    assert_eq!(times.time_before(60), Some(SECOND));
    assert_eq!(times.time_before(10), Some(SECOND));
    assert_eq!(times.time_before(9), Some(3 * SECOND));
    assert_eq!(times.time_before(0), Some(3 * SECOND));
}

/// A client that sends single bytes must not make the number of times grow.
#[test]
fn the_times_of_reads_are_limited() {
    let mut times = ReadTimes::default();
    for read in 0..100_000 {
        times.record(read * 1_000_000_000, 1);
    }
    assert!(times.len() <= 256);
}

#[test]
fn continue_is_sent_once_and_only_while_the_body_is_missing() {
    let head = [
        REQUEST_HEAD,
        "Expect: 100-continue\r\nContent-Length: 1\r\n\r\n",
    ]
    .concat();
    assert_eq!(
        client_events(head.as_bytes(), 1),
        [ClientEvent::ContinueExpected]
    );
    assert_eq!(
        client_events([&head, "x"].concat().as_bytes(), 10_000),
        [expected_request("x")]
    );
}

#[test_case("", true; "by default")]
#[test_case("Connection: close\r\n", false; "close")]
#[test_case("Connection: x, Close\r\n", false; "close among other options")]
fn keep_alive_follows_the_connection_header(line: &str, keep_alive: bool) {
    let text = format!("GET /healthz HTTP/1.1\r\n{line}\r\n");
    assert_eq!(
        client_events(text.as_bytes(), 3),
        [ClientEvent::ReadinessCheck { keep_alive }]
    );
}

#[test_case(MAX_HEAD_BYTES + 1, Err(HttpError::HeadTooLarge); "beyond the limit")]
#[test_case(MAX_HEAD_BYTES, Ok(None); "at the limit")]
fn head_size_is_limited(length: usize, expected: Result<Option<usize>, HttpError>) {
    let mut buffer = ReadBuffer::default();
    buffer.bytes = vec![b'x'; length];
    assert_eq!(buffer.head_length(), expected);
}

#[test_case("Request-Timeout", "inf"; "an infinite timeout")]
#[test_case("Request-Timeout", "1e3"; "a timeout with an exponent")]
#[test_case("Request-Timeout", "-1"; "a negative timeout")]
#[test_case("Request-Timeout", "99999999"; "a timeout of years")]
#[test_case("Request-Info", "slots=NaN"; "no number")]
#[test_case("Request-Info", "slots"; "no value")]
#[test_case("Work-Hint", ""; "an empty hint")]
fn unreadable_numbers_are_refused(name: &str, value: &str) {
    let head: String = REQUEST_HEAD
        .lines()
        .map(|line| match line.split_once(": ") {
            Some((key, _)) if key == name => format!("{name}: {value}\r\n"),
            _ => format!("{line}\r\n"),
        })
        .collect();
    let events = client_events((head + "\r\n").as_bytes(), 10_000);
    assert!(
        matches!(events[..], [ClientEvent::Invalid { status: 400, .. }]),
        "{events:?}"
    );
}

#[test_case(&Answer::Succeeded(b"ok".to_vec()), "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"; "succeeded")]
#[test_case(&Answer::Rejected { retry_after: 1_500_000_000 },
            "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1.500\r\nContent-Length: 9\r\n\r\ndeclined\n"; "rejected")]
#[test_case(&Answer::Rejected { retry_after: 0 },
            "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 9\r\n\r\ndeclined\n"; "rejected without a time to retry")]
#[test_case(&Answer::Failed, "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 9\r\n\r\nreversed\n"; "failed")]
#[test_case(&Answer::DuplicateId, "HTTP/1.1 409 Conflict\r\nContent-Length: 26\r\n\r\nthe Request-Id is not new\n"; "duplicate id")]
fn answers_are_encoded(answer: &Answer, text: &str) {
    assert_eq!(
        String::from_utf8(encode_answer(answer, true)).unwrap(),
        text
    );
}

#[test_case("a b,c" => Some(1); "as sent by clients")]
#[test_case("a_b_c" => Some(1); "as in the settings")]
#[test_case("a_b" => Some(0); "plain")]
#[test_case("a" => None; "only the start")]
fn names_match_with_spaces_and_commas_for_underscores(name: &str) -> Option<usize> {
    index_of_name(&["a_b".to_string(), "a_b_c".to_string()], name)
}
