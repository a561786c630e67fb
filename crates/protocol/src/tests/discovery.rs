//! Tests of reading responses of the discovery service and decoding endpoint lists.
use super::{feed_in_pieces, names};
use crate::discovery::{EndpointListReader, decode_endpoint_list};
use crate::http::CompleteResponse;
use rosewall::types::EndpointState;
use test_case::test_case;

const ENTRY: &str = r#"{"host":"w","dial":"10.1.0.18:3000","site":"b","class":"m1","block":3,"health":"ready","share":1.5,"born_ms":2}"#;

fn list_with(entry: &str) -> String {
    format!(r#"{{"seq":41,"whole":true,"hosts":[{entry}]}}"#)
}

#[test]
fn a_list_is_decoded() {
    let list = decode_endpoint_list(list_with(ENTRY).as_bytes(), &names()).unwrap();
    let endpoint = &list.endpoints[0];
    assert_eq!(
        (list.version, list.is_snapshot, endpoint.host.as_str()),
        (41, true, "w")
    );
    assert_eq!(
        (
            endpoint.state,
            endpoint.zone,
            endpoint.worker_type,
            endpoint.group
        ),
        (EndpointState::Ready, 1, 0, 3)
    );
    assert_eq!(
        (
            endpoint.size,
            endpoint.started_at,
            endpoint.address.unwrap().port()
        ),
        (1.5, 2_000_000, 3000)
    );
}

#[test_case("ready", "poorly"; "an unknown health")]
#[test_case("10.1.0.18:3000", "somewhere"; "no address")]
#[test_case("\"w\"", "\"\""; "no host")]
#[test_case("1.5", "null"; "no size")]
fn a_list_with_an_invalid_entry_is_malformed(from: &str, to: &str) {
    let text = list_with(&ENTRY.replace(from, to));
    assert!(decode_endpoint_list(text.as_bytes(), &names()).is_err());
}

#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", Some(true); "by length")]
#[test_case("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n", Some(true); "chunked")]
#[test_case("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\n{}", Some(false); "to be closed")]
#[test_case("HTTP/1.1 500 No\r\nContent-Length: 2\r\n\r\n{}", None; "status 500")]
fn a_response_is_read_however_its_bytes_are_split(text: &str, reusable: Option<bool>) {
    for size in [1, 5, 10_000] {
        let results = feed_in_pieces(
            &mut EndpointListReader::default(),
            text.as_bytes(),
            size,
            |reader, piece| vec![reader.feed(piece)],
        );
        let last = results.into_iter().rfind(|result| *result != Ok(None));
        match reusable {
            Some(reusable) => {
                let body = b"{}".to_vec();
                assert_eq!(last, Some(Ok(Some(CompleteResponse { body, reusable }))));
            }
            None => assert!(last.unwrap().is_err()),
        }
    }
}

/// Checks that the size limit of a list admits 1,024 workers with long names, indented.
#[test]
fn an_indented_list_of_1024_workers_is_within_the_size_limit() {
    let entries: Vec<String> = (0..1_024)
        .map(|at| {
            ENTRY
                .replace("\"w\"", &format!("\"{at:0>200}\""))
                .replace(',', ",\n            ")
        })
        .collect();
    let text = format!(
        "{{\n    \"seq\": 1,\n    \"whole\": true,\n    \"hosts\": [{}]\n}}",
        entries.join(",\n        ")
    );
    let response = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}",
        text.len()
    );
    let complete = EndpointListReader::default()
        .feed(response.as_bytes())
        .unwrap()
        .unwrap();
    let list = decode_endpoint_list(&complete.body, &names()).unwrap();
    assert_eq!(
        (list.endpoints.len(), list.endpoints[1_023].host.len()),
        (1_024, 200)
    );
}
