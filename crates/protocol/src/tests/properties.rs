//! Properties of all readers: the results do not depend on how the bytes are split, and arbitrary
//! bytes cause no panic and are not accumulated.
use super::list_of;
use crate::client::{ClientEvent, RequestReader};
use crate::discovery::{EndpointListReader, decode_endpoint_list};
use crate::http::{MAX_BODY_BYTES, MAX_HEAD_BYTES, ReadBuffer, ResponseReader};
use crate::names::Names;
use crate::worker::{AttemptResponseReader, HealthCheckReader};
use proptest::collection::vec;
use proptest::prelude::*;

fn names() -> Names {
    Names {
        classes: list_of("thumb,charge"),
        tenants: list_of("acme"),
        zones: list_of("a"),
        worker_types: list_of("m1"),
    }
}

/// Splits the bytes at these indices, each taken modulo the length plus one.
fn split_at<'a>(bytes: &'a [u8], cuts: &[usize]) -> Vec<&'a [u8]> {
    let mut ends: Vec<usize> = cuts.iter().map(|cut| cut % (bytes.len() + 1)).collect();
    ends.push(bytes.len());
    ends.sort_unstable();
    let mut from = 0;
    ends.into_iter()
        .map(|end| &bytes[std::mem::replace(&mut from, end)..end])
        .collect()
}

fn client_events(pieces: &[&[u8]]) -> Vec<ClientEvent> {
    let names = names();
    let mut reader = RequestReader::default();
    let mut events = Vec::new();
    for piece in pieces {
        reader.feed(piece);
        while let Some(event) = reader.next_event(&names) {
            // Whether a client waits for `100 Continue` depends on whether its body arrived with
            // the head, and so on the split.
            events.extend((event != ClientEvent::ContinueExpected).then_some(event));
        }
    }
    events
}

fn attempt_summary(pieces: &[&[u8]]) -> String {
    let mut reader = AttemptResponseReader::new("9b1f".to_string());
    let mut progress = Vec::new();
    for piece in pieces {
        reader.feed(piece);
        progress.extend(std::iter::from_fn(|| reader.next_progress()));
    }
    let (finished, reusable) = (reader.is_finished(), reader.is_reusable());
    format!(
        "{progress:?} {finished} {reusable} {:?}",
        reader.connection_closed()
    )
}

fn health_check_summary(pieces: &[&[u8]]) -> String {
    let fields = ["inflight".to_string()];
    let mut reader = HealthCheckReader::new(&fields);
    let result = pieces.iter().find_map(|piece| reader.feed(piece));
    format!("{:?}", result.map(|result| (result.outcome, result.report)))
}

fn list_summary(pieces: &[&[u8]]) -> String {
    let mut reader = EndpointListReader::default();
    for piece in pieces {
        match reader.feed(piece) {
            Ok(None) => {}
            Ok(Some(complete)) => {
                return format!("{:?}", decode_endpoint_list(&complete.body, &names()));
            }
            Err(_) => return "unreadable".to_string(),
        }
    }
    format!("{:?}", reader.connection_closed())
}

fn request() -> impl Strategy<Value = Vec<u8>> {
    (vec(any::<u8>(), 0..300), any::<bool>(), 0..4_usize).prop_map(|(body, chunked, id_case)| {
        let id = ["Request-Id: 9b1f\r\n", "", "Request-Id: 9b1f\r\n", "Request-Id: 9b1f\r\n"][id_case];
        let mut text = format!(
            "POST /api?x HTTP/1.1\r\n{id}Request-Class: thumb\r\nTenant: acme\r\nRequest-Timeout: 0.5\r\n"
        )
        .into_bytes();
        if chunked {
            text.extend_from_slice(b"Transfer-Encoding: chunked\r\n\r\n");
            for part in body.chunks(70) {
                text.extend_from_slice(format!("{:x}\r\n", part.len()).as_bytes());
                text.extend_from_slice(part);
                text.extend_from_slice(b"\r\n");
            }
            text.extend_from_slice(b"0\r\n\r\n");
        } else {
            text.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
            text.extend_from_slice(&body);
        }
        text
    })
}

fn answer() -> impl Strategy<Value = Vec<u8>> {
    let word = prop::sample::select(vec![
        "started", "running", "done", "failed", "returned", "lost",
    ]);
    let id = prop::sample::select(vec!["9b1f", "9b1f", "9b1f", "ffff"]);
    let status = prop::sample::select(vec!["200", "200", "200", "500", "503", "504", "400", "102"]);
    (status, vec((id, word, any::<bool>()), 0..5), any::<bool>()).prop_map(
        |(status, lines, did_not_run)| {
            let not_started_line = if did_not_run {
                "Not-Started: 1\r\n"
            } else {
                ""
            };
            let mut text = format!(
                "HTTP/1.1 {status} X\r\n{not_started_line}Transfer-Encoding: chunked\r\n\r\n"
            );
            for (id, word, result) in lines {
                let result = if result { ",\"result\":\"r\"" } else { "" };
                let line = format!("{{\"id\":\"{id}\",\"state\":\"{word}\"{result}}}\n");
                text.push_str(&format!("{:x}\r\n{line}\r\n", line.len()));
            }
            text.push_str("0\r\n\r\n");
            text.into_bytes()
        },
    )
}

fn list() -> impl Strategy<Value = Vec<u8>> {
    (
        vec(
            prop::sample::select(vec!["ready", "draining", "gone", "lost"]),
            0..5,
        ),
        any::<u32>(),
    )
        .prop_map(|(hosts, seq)| {
            let entry = |(at, health): (usize, &&str)| {
                format!("{{\"host\":\"w{at}\",\"dial\":\"10.0.0.1:{at}\",\"health\":\"{health}\"}}")
            };
            let hosts: Vec<_> = hosts.iter().enumerate().map(entry).collect();
            let body = format!(
                "{{\"seq\":{seq},\"whole\":true,\"hosts\":[{}]}}",
                hosts.join(",")
            );
            format!(
                "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            )
            .into_bytes()
        })
}

/// Arbitrary bytes mixed with fragments of the protocols.
fn garbage() -> impl Strategy<Value = Vec<u8>> {
    let words = vec![
        "HTTP/1.1 200 OK\r\n",
        "POST / HTTP/1.1\r\n",
        "Content-Length: 9999999999\r\n",
        "Content-Length: 10\r\n",
        "Transfer-Encoding: chunked\r\n",
        "\r\n",
        "ffffffffffffffff\r\n",
        "5\r\n",
        "0\r\n",
        "\n",
        ": ",
        "\u{0}",
        "{\"id\":\"9b1f\",\"state\":\"done\"}\n",
        "Request-Id: a\r\n",
    ];
    let word = prop::sample::select(words).prop_map(|word| word.as_bytes().to_vec());
    vec(prop_oneof![word, vec(any::<u8>(), 0..2000)], 0..60).prop_map(|parts| parts.concat())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    #[test]
    fn requests_are_the_same_however_their_bytes_are_split(one in request(), two in request(), cuts in vec(any::<usize>(), 0..20)) {
        let bytes = [one, two].concat();
        prop_assert_eq!(client_events(&split_at(&bytes, &cuts)), client_events(&[&bytes]));
    }

    #[test]
    fn an_answer_is_the_same_however_its_bytes_are_split(bytes in answer(), cuts in vec(any::<usize>(), 0..20)) {
        prop_assert_eq!(attempt_summary(&split_at(&bytes, &cuts)), attempt_summary(&[&bytes]));
        prop_assert_eq!(health_check_summary(&split_at(&bytes, &cuts)), health_check_summary(&[&bytes]));
    }

    #[test]
    fn a_list_is_the_same_however_its_bytes_are_split(bytes in list(), cuts in vec(any::<usize>(), 0..20)) {
        prop_assert_eq!(list_summary(&split_at(&bytes, &cuts)), list_summary(&[&bytes]));
    }

    #[test]
    fn garbage_neither_panics_nor_accumulates(bytes in garbage(), cuts in vec(any::<usize>(), 0..20)) {
        let names = names();
        let mut reader = RequestReader::default();
        let mut buffer = ReadBuffer::default();
        let mut response = ResponseReader::default();
        for piece in split_at(&bytes, &cuts) {
            // The runtime reads only while there is capacity, and closes a connection at the first
            // error.
            if reader.has_capacity() {
                reader.feed(piece);
            }
            while reader.next_event(&names).is_some() {}
            prop_assert!(reader.buffered_bytes() <= MAX_HEAD_BYTES + 2 * MAX_BODY_BYTES + piece.len());
            buffer.bytes.extend_from_slice(piece);
            if buffer.head_length().is_err() || response.feed(piece, MAX_BODY_BYTES).is_err() {
                break;
            }
        }
        attempt_summary(&split_at(&bytes, &cuts));
        health_check_summary(&split_at(&bytes, &cuts));
        list_summary(&split_at(&bytes, &cuts));
    }
}
