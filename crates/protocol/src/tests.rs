//! The state machines, fed whole messages, single bytes and garbage.
use super::client::{Answer, ClientRequest, Heard, Intake, Names, answer, place};
use super::discovery::{EndpointListReader, decode_endpoint_list};
use super::http::{BODY_LIMIT, Fault, HEAD_LIMIT, Inlet};
use super::peer_load;
use super::worker::{AttemptProgress, Reply, Sounding, encode_request};
use rosewall::pcg::Pcg;
use rosewall::types::{EndpointState, Outcome, PeerLoad, Report, WorkerId};
use std::net::SocketAddr;
use test_case::test_case;

fn names() -> Names {
    let words = |text: &str| text.split(',').map(str::to_string).collect();
    Names {
        classes: words("thumb,charge"),
        tenants: words("acme,zeta"),
        zones: words("a,b"),
        worker_types: words("m1"),
    }
}

/// Feeds a machine in pieces of so many bytes and collects what it says.
fn in_pieces<M, T>(
    machine: &mut M,
    bytes: &[u8],
    size: usize,
    mut say: impl FnMut(&mut M, &[u8]) -> Vec<T>,
) -> Vec<T> {
    bytes
        .chunks(size)
        .flat_map(|piece| say(machine, piece))
        .collect()
}

fn hear(bytes: &[u8], size: usize) -> Vec<Heard> {
    in_pieces(&mut Intake::default(), bytes, size, |intake, piece| {
        intake.feed(piece);
        std::iter::from_fn(|| intake.next(&names())).collect()
    })
}

fn told(bytes: &[u8], size: usize) -> (Vec<AttemptProgress>, Reply) {
    let mut reply = Reply::new("id".into());
    let told = in_pieces(&mut reply, bytes, size, |reply, piece| {
        reply.feed(piece);
        std::iter::from_fn(|| reply.told()).collect()
    });
    (told, reply)
}

const HEAD: &str = "POST /api/x?y=%20 HTTP/1.1\r\nRequest-Id: 9b1f\r\nRequest-Class: charge\r\nTenant: zeta\r\n\
    Request-Timeout: 0.480\r\nWork-Hint: 250\r\nRequest-Info: slots=2,memory=0.5\r\nCookie: k=7f\r\nIdempotency-Key: 43 66\r\n";

fn expected(body: &str) -> Heard {
    Heard::Request(ClientRequest {
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
        keeps: true,
    })
}

#[test_case("Content-Length: 5\r\n\r\nhello", "hello"; "by length")]
#[test_case("\r\n", ""; "no body")]
#[test_case("Transfer-Encoding: chunked\r\n\r\n3;x=y\r\nhel\r\n2\r\nlo\r\n0\r\nTrailer: z\r\n\r\n", "hello"; "chunked")]
fn a_request_is_heard_however_it_is_cut(rest: &str, body: &str) {
    let twice = [HEAD, rest, "\r\n", HEAD, rest].concat();
    for size in [1, 2, 7, 64, 10_000] {
        assert_eq!(
            hear(twice.as_bytes(), size),
            [expected(body), expected(body)],
            "{size}"
        );
    }
}

#[test]
fn leave_is_given_once_and_only_while_the_body_is_out() {
    let head = [HEAD, "Expect: 100-continue\r\nContent-Length: 1\r\n\r\n"].concat();
    assert_eq!(hear(head.as_bytes(), 1), [Heard::Continue]);
    assert_eq!(
        hear([&head, "x"].concat().as_bytes(), 10_000),
        [expected("x")]
    );
}

#[test_case("", true; "by default")]
#[test_case("Connection: close\r\n", false; "asked to close")]
#[test_case("Connection: x, Close\r\n", false; "among other words")]
fn a_connection_is_kept_as_asked(line: &str, kept: bool) {
    let text = format!("GET /healthz HTTP/1.1\r\n{line}\r\n");
    assert_eq!(hear(text.as_bytes(), 3), [Heard::Ready { keeps: kept }]);
}

#[test_case(HEAD_LIMIT + 1, Err(Fault::HeadTooLarge); "beyond the limit")]
#[test_case(HEAD_LIMIT, Ok(None); "at the limit")]
fn a_head_has_a_limit(length: usize, expected: Result<Option<usize>, Fault>) {
    let mut inlet = Inlet::default();
    inlet.bytes = vec![b'x'; length];
    assert_eq!(inlet.head(), expected);
}

#[test_case("Request-Timeout", "inf"; "an endless time")]
#[test_case("Request-Timeout", "1e3"; "a time with an exponent")]
#[test_case("Request-Timeout", "-1"; "a negative time")]
#[test_case("Request-Timeout", "99999999"; "a time of years")]
#[test_case("Request-Info", "slots=NaN"; "no number")]
#[test_case("Request-Info", "slots"; "no value")]
#[test_case("Work-Hint", ""; "an empty hint")]
fn an_unreadable_figure_is_bad(name: &str, value: &str) {
    let head = HEAD.lines().map(|line| match line.split_once(": ") {
        Some((key, _)) if key == name => format!("{name}: {value}\r\n"),
        _ => format!("{line}\r\n"),
    });
    let heard = hear((head.collect::<String>() + "\r\n").as_bytes(), 10_000);
    assert!(matches!(heard[..], [Heard::Bad(400, _)]), "{heard:?}");
}

#[test_case(&Answer::Succeeded(b"ok".to_vec()), "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"; "settled")]
#[test_case(&Answer::Rejected { retry_after: 1_500_000_000 },
            "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1.500\r\nContent-Length: 9\r\n\r\ndeclined\n"; "declined")]
#[test_case(&Answer::Rejected { retry_after: 0 },
            "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 9\r\n\r\ndeclined\n"; "no time to come back")]
#[test_case(&Answer::Failed, "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 9\r\n\r\nreversed\n"; "reversed")]
#[test_case(&Answer::DuplicateId, "HTTP/1.1 409 Conflict\r\nContent-Length: 26\r\n\r\nthe Request-Id is not new\n"; "known")]
fn answers_are_encoded(given: &Answer, text: &str) {
    assert_eq!(String::from_utf8(answer(given, true)).unwrap(), text);
}

#[test]
fn an_attempt_carries_what_must_go_on() {
    let (target, id, body) = ("/api?q".into(), "9b1f".into(), b"body".to_vec());
    let request = ClientRequest {
        target,
        id,
        body,
        ..ClientRequest::default()
    };
    let text = String::from_utf8(encode_request("w", &request, 1_250_000_000)).unwrap();
    assert_eq!(
        text,
        "POST /api?q HTTP/1.1\r\nHost: w\r\nRequest-Id: 9b1f\r\nRequest-Timeout: 1.250\r\nContent-Length: 4\r\n\r\nbody"
    );
}

const STARTED: &str = "{\"id\":\"id\",\"from\":\"w\",\"state\":\"started\"}\n";
const DONE: &str = "{\"id\":\"id\",\"state\":\"done\",\"result\":\"a \\\"b\\\"\"}\n";
const FAILED: &str = "{\"id\":\"id\",\"state\":\"failed\"}\n";

/// A 200 with one chunk a line.
fn streamed(lines: &[&str]) -> Vec<u8> {
    let chunks = lines
        .iter()
        .map(|line| format!("{:x}\r\n{line}\r\n", line.len()));
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    format!("{head}{}0\r\n\r\n", chunks.collect::<String>()).into_bytes()
}

fn done() -> AttemptProgress {
    AttemptProgress::Succeeded(b"a \"b\"".to_vec())
}

#[test_case(&[STARTED, DONE] => vec![AttemptProgress::Started, done()]; "started and done")]
#[test_case(&[DONE, FAILED, STARTED] => vec![done()]; "only the first end counts")]
#[test_case(&["\n", "{\"id\":\"id\",\"state\":\"new\"}\n", DONE] => vec![done()]; "what is not known is passed over")]
#[test_case(&[STARTED, FAILED] => vec![AttemptProgress::Started, AttemptProgress::Ended(Outcome::WorkerError)]; "failed")]
#[test_case(&[DONE.trim_ascii_end()] => vec![done()]; "a last line without its end")]
#[test_case(&[STARTED] => vec![AttemptProgress::Started, AttemptProgress::Ended(Outcome::ConnectionLost)]; "no last line")]
#[test_case(&["{\"id\":\"id\",\"state\":\"returned\"}\n"] => vec![AttemptProgress::Ended(Outcome::AtCapacity)]; "returned")]
fn an_answer_tells_the_same_however_it_is_cut(lines: &[&str]) -> Vec<AttemptProgress> {
    let (whole, reply) = told(&streamed(lines), 10_000);
    assert!(reply.reusable());
    for size in [1, 3, 17] {
        assert_eq!(told(&streamed(lines), size).0, whole, "{size}");
    }
    whole
}

#[test_case("HTTP/1.1 503 x\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n", Outcome::AtCapacity, true; "not started")]
#[test_case("HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n", Outcome::WorkerError, true; "may have started")]
#[test_case("HTTP/1.1 500 x\r\nContent-Length: 2\r\n\r\nno", Outcome::WorkerError, true; "with a body")]
#[test_case("HTTP/1.1 100 x\r\n\r\nHTTP/1.1 500 x\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", Outcome::WorkerError,
            false; "after an interim answer, to be closed")]
#[test_case("HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\nmore", Outcome::WorkerError, false; "with more after it")]
#[test_case("nothing of the kind\r\n\r\n", Outcome::ConnectionLost, false; "no head")]
fn a_status_is_an_outcome(text: &str, outcome: Outcome, reusable: bool) {
    let (told, reply) = told(text.as_bytes(), 10_000);
    assert_eq!(
        (told, reply.finished(), reply.reusable()),
        (vec![AttemptProgress::Ended(outcome)], true, reusable)
    );
}

#[test_case(&streamed(&[STARTED])[..60], Some(AttemptProgress::Ended(Outcome::ConnectionLost)); "before the end")]
#[test_case(&streamed(&[DONE]), None; "after it")]
fn a_closed_connection_ends_what_has_not_ended(bytes: &[u8], expected: Option<AttemptProgress>) {
    assert_eq!(told(bytes, 10_000).1.closed(), expected);
}

/// Guards against a panic, a loop without end and memory without bound on any input.
#[test_case(1; "one seed")]
#[test_case(2; "another")]
#[test_case(3; "a third")]
fn garbage_ends_in_order(seed: u64) {
    let mut chance = Pcg::new(seed);
    let good = [
        &streamed(&[STARTED, DONE])[..],
        HEAD.as_bytes(),
        b"Content-Length: 5\r\n\r\nhello",
    ]
    .concat();
    for _ in 0..3_000 {
        let mut bytes = good[(chance.unit() * good.len() as f64) as usize..].to_vec();
        for _ in 0..(chance.unit() * 8.0) as usize {
            let at = (chance.unit() * bytes.len() as f64) as usize;
            bytes[at] = (chance.unit() * 256.0) as u8;
        }
        let size = 1 + (chance.unit() * 40.0) as usize;
        let _ = hear(&bytes, size);
        let ends = told(&bytes, size)
            .0
            .iter()
            .filter(|told| **told != AttemptProgress::Started)
            .count();
        assert!(ends <= 1);
        let _ = Sounding::new(&["x0".to_string()]).feed(&bytes);
        let _ = EndpointListReader::default().feed(&bytes);
        let _ = decode_endpoint_list(&bytes, &names());
    }
}

#[test]
fn an_endless_line_is_not_kept() {
    let mut reply = Reply::new("id".into());
    reply.feed(b"HTTP/1.1 200 OK\r\n\r\n");
    let piece = vec![b'x'; 4096];
    let fed = (0..100).find(|_| {
        reply.feed(&piece);
        reply.told() == Some(AttemptProgress::Ended(Outcome::ConnectionLost))
    });
    assert!(fed.is_some_and(|count| count * piece.len() <= BODY_LIMIT));
}

#[test_case("x0=0.5,inflight=3\n", &["inflight", "x0"] => (2, [3.0, 0.5, 0.0, 0.0]); "in the order of the fields")]
#[test_case("x0=0.5", &["inflight", "x0"] => (0, [0.0; 4]); "one is missing")]
#[test_case("x0=NaN", &["x0"] => (0, [0.0; 4]); "no number")]
fn a_probe_tells_a_report(body: &str, fields: &[&str]) -> (usize, [f32; 4]) {
    let fields: Vec<String> = fields.iter().map(|field| field.to_string()).collect();
    let answer = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let told = Sounding::new(&fields).feed(answer.as_bytes());
    let Some((Outcome::Succeeded, Report { count, values }, true)) = told else {
        panic!("{told:?}")
    };
    (count, values)
}

const ENTRY: &str = r#"{"host":"w","dial":"10.1.0.18:3000","site":"b","class":"m1","block":3,"health":"ready","share":1.5,"born_ms":2}"#;

#[test]
fn a_list_is_read_in_our_terms() {
    let text = format!(r#"{{"seq":41,"whole":true,"hosts":[{ENTRY}]}}"#);
    let list = decode_endpoint_list(text.as_bytes(), &names()).unwrap();
    let host = &list.endpoints[0];
    assert_eq!(
        (list.version, list.is_snapshot, host.host.as_str()),
        (41, true, "w")
    );
    assert_eq!(
        (host.state, host.zone, host.worker_type, host.group),
        (EndpointState::Ready, 1, 0, 3)
    );
    assert_eq!(
        (host.size, host.born, host.address.unwrap().port()),
        (1.5, 2_000_000, 3000)
    );
}

#[test_case("ready", "poorly"; "an unknown health")]
#[test_case("10.1.0.18:3000", "somewhere"; "no address")]
#[test_case("\"w\"", "\"\""; "no host")]
#[test_case("1.5", "null"; "no size")]
fn a_list_with_an_entry_without_sense_is_malformed(from: &str, to: &str) {
    let text = format!(
        r#"{{"seq":41,"whole":true,"hosts":[{}]}}"#,
        ENTRY.replace(from, to)
    );
    assert!(decode_endpoint_list(text.as_bytes(), &names()).is_err());
}

#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", Some(true); "by length")]
#[test_case("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n", Some(true); "chunked")]
#[test_case("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\n{}", Some(false); "to be closed")]
#[test_case("HTTP/1.1 500 No\r\nContent-Length: 2\r\n\r\n{}", None; "a failure")]
fn a_bulletin_is_read_however_it_is_cut(text: &str, keeps: Option<bool>) {
    for size in [1, 5, 10_000] {
        let said = in_pieces(
            &mut EndpointListReader::default(),
            text.as_bytes(),
            size,
            |reader, piece| vec![reader.feed(piece)],
        );
        let whole = said.into_iter().rfind(|said| *said != Ok(None));
        match keeps {
            Some(keeps) => assert_eq!(whole, Some(Ok(Some((b"{}".to_vec(), keeps))))),
            None => assert!(whole.unwrap().is_err()),
        }
    }
}

#[test_case("a b,c" => Some(1); "as sent by clients")]
#[test_case("a_b_c" => Some(1); "as in the settings")]
#[test_case("a_b" => Some(0); "plain")]
#[test_case("a" => None; "only the start")]
fn a_name_is_found_as_it_is_spoken(name: &str) -> Option<usize> {
    place(&["a_b".to_string(), "a_b_c".to_string()], name)
}

/// Guards against datagrams of strangers, of other versions, and spoilt ones.
#[test_case(|_| (), 7000 => true; "ours")]
#[test_case(|bytes| { bytes.pop(); }, 7000 => false; "short")]
#[test_case(|bytes| bytes.push(0), 7000 => false; "long")]
#[test_case(|bytes| bytes.clear(), 7000 => false; "empty")]
#[test_case(|bytes| bytes[0] = 0, 7000 => false; "of another program")]
#[test_case(|bytes| bytes[2] = 2, 7000 => false; "of another version")]
#[test_case(|bytes| bytes[3] = 1, 7000 => false; "of a number that is not there")]
#[test_case(|bytes| bytes[4] = 1, 7000 => false; "of a number with another address")]
#[test_case(|_| (), 7009 => false; "of a stranger")]
fn datagrams_are_read(spoil: fn(&mut Vec<u8>), port: u16) -> bool {
    let worker = WorkerId {
        addr: [10, 1, 2, 3],
        port: 4,
    };
    let load = PeerLoad {
        worker,
        half_slots: 5,
        work_units: 600,
        speed_code: 7,
    };
    let mut bytes = super::peer_load::datagram(0, &load).to_vec();
    spoil(&mut bytes);
    let at = |port| std::net::SocketAddr::from(([127, 0, 0, 1], port));
    super::peer_load::read(&bytes, at(port), &[at(7000), at(7001)]) == Ok((0, load))
}

/// Guards against a cap on the number of workers: 1,024 with long names, indented, come whole.
#[test]
fn a_list_of_a_thousand_workers_is_read_whole() {
    let host = |at: usize| {
        let name = format!("{at:0>200}");
        ENTRY
            .replace("\"w\"", &format!("\"{name}\""))
            .replace(',', ",\n            ")
    };
    let hosts: Vec<String> = (0..1_024).map(host).collect();
    let text = format!(
        "{{\n    \"seq\": 1,\n    \"whole\": true,\n    \"hosts\": [{}]\n}}",
        hosts.join(",\n        ")
    );
    let answer = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}",
        text.len()
    );
    let (body, _) = EndpointListReader::default()
        .feed(answer.as_bytes())
        .unwrap()
        .unwrap();
    let list = decode_endpoint_list(&body, &names()).unwrap();
    assert_eq!(
        (list.endpoints.len(), list.endpoints[1_023].host.len()),
        (1_024, 200)
    );
}

#[test]
fn a_datagram_names_the_last_of_a_thousand_dispatchers() {
    let peers: Vec<SocketAddr> = (0..1_024_u16)
        .map(|at| ([127, 0, 0, 1], 10_000 + at).into())
        .collect();
    let worker = WorkerId {
        addr: [10, 0, 0, 1],
        port: 9,
    };
    let load = PeerLoad {
        worker,
        half_slots: 3,
        work_units: 40,
        speed_code: PeerLoad::SPEED_UNKNOWN,
    };
    assert_eq!(
        peer_load::read(&peer_load::datagram(1_023, &load), peers[1_023], &peers),
        Ok((1_023, load))
    );
}
