//! Properties of every machine: however its bytes are cut it tells the same, and garbage neither fails it nor is hoarded.
use crate::client::{Heard, Intake, Names};
use crate::discovery::{EndpointListReader, decode_endpoint_list};
use crate::http::{BODY_LIMIT, HEAD_LIMIT, Inlet, Whole};
use crate::worker::{Reply, Sounding};
use proptest::collection::vec;
use proptest::prelude::*;

fn names() -> Names {
    let words = |text: &str| text.split(',').map(str::to_string).collect();
    Names {
        classes: words("thumb,charge"),
        tenants: words("acme"),
        zones: words("a"),
        worker_types: words("m1"),
    }
}

/// The bytes in pieces that end at these places.
fn pieces<'a>(bytes: &'a [u8], cuts: &[usize]) -> Vec<&'a [u8]> {
    let mut ends: Vec<usize> = cuts.iter().map(|cut| cut % (bytes.len() + 1)).collect();
    ends.push(bytes.len());
    ends.sort_unstable();
    let mut from = 0;
    ends.into_iter()
        .map(|end| &bytes[std::mem::replace(&mut from, end)..end])
        .collect()
}

fn heard(parts: &[&[u8]]) -> Vec<Heard> {
    let (names, mut intake, mut all) = (names(), Intake::default(), Vec::new());
    for part in parts {
        intake.feed(part);
        while let Some(heard) = intake.next(&names) {
            // Leave to send a body is asked for only where the body did not come along.
            all.extend((heard != Heard::Continue).then_some(heard));
        }
    }
    all
}

fn told(parts: &[&[u8]]) -> String {
    let mut reply = Reply::new("9b1f".to_string());
    let mut all = Vec::new();
    for part in parts {
        reply.feed(part);
        all.extend(std::iter::from_fn(|| reply.told()));
    }
    let (finished, reusable) = (reply.finished(), reply.reusable());
    format!("{all:?} {finished} {reusable} {:?}", reply.closed())
}

fn sounded(parts: &[&[u8]]) -> String {
    let fields = ["inflight".to_string()];
    let mut sounding = Sounding::new(&fields);
    let found = parts.iter().find_map(|part| sounding.feed(part));
    format!("{:?}", found.map(|(outcome, report, _)| (outcome, report)))
}

fn listed(parts: &[&[u8]]) -> String {
    let mut reader = EndpointListReader::default();
    for part in parts {
        match reader.feed(part) {
            Ok(None) => {}
            Ok(Some((text, _))) => return format!("{:?}", decode_endpoint_list(&text, &names())),
            Err(_) => return "unreadable".to_string(),
        }
    }
    format!("{:?}", reader.closed())
}

fn request() -> impl Strategy<Value = Vec<u8>> {
    (vec(any::<u8>(), 0..300), any::<bool>(), 0..4_usize).prop_map(|(body, chunked, wrong)| {
        let id = ["Request-Id: 9b1f\r\n", "", "Request-Id: 9b1f\r\n", "Request-Id: 9b1f\r\n"][wrong];
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
        |(status, lines, unrun)| {
            let unrun = if unrun { "Not-Started: 1\r\n" } else { "" };
            let mut text =
                format!("HTTP/1.1 {status} X\r\n{unrun}Transfer-Encoding: chunked\r\n\r\n");
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

/// Bytes that look like a protocol's for a while.
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
    fn a_request_is_the_same_however_it_is_cut(one in request(), two in request(), cuts in vec(any::<usize>(), 0..20)) {
        let bytes = [one, two].concat();
        prop_assert_eq!(heard(&pieces(&bytes, &cuts)), heard(&[&bytes]));
    }

    #[test]
    fn an_answer_is_the_same_however_it_is_cut(bytes in answer(), cuts in vec(any::<usize>(), 0..20)) {
        prop_assert_eq!(told(&pieces(&bytes, &cuts)), told(&[&bytes]));
        prop_assert_eq!(sounded(&pieces(&bytes, &cuts)), sounded(&[&bytes]));
    }

    #[test]
    fn a_list_is_the_same_however_it_is_cut(bytes in list(), cuts in vec(any::<usize>(), 0..20)) {
        prop_assert_eq!(listed(&pieces(&bytes, &cuts)), listed(&[&bytes]));
    }

    #[test]
    fn garbage_fails_no_machine_and_is_not_hoarded(bytes in garbage(), cuts in vec(any::<usize>(), 0..20)) {
        let (names, mut intake) = (names(), Intake::default());
        let (mut inlet, mut whole) = (Inlet::default(), Whole::default());
        for part in pieces(&bytes, &cuts) {
            // A driver reads on only while there is room, and ends a connection with the first fault.
            if intake.has_room() {
                intake.feed(part);
            }
            while intake.next(&names).is_some() {}
            prop_assert!(intake.held() <= HEAD_LIMIT + 2 * BODY_LIMIT + part.len());
            inlet.bytes.extend_from_slice(part);
            if inlet.head().is_err() || whole.feed(part, BODY_LIMIT).is_err() {
                break;
            }
        }
        told(&pieces(&bytes, &cuts));
        sounded(&pieces(&bytes, &cuts));
        listed(&pieces(&bytes, &cuts));
    }
}
