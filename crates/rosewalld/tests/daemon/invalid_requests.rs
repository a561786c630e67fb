//! Refusal of malformed and oversized requests.
use crate::start_fleet;
use test_case::test_case;

/// Valid header fields. They replace `FIELDS` in the requests below; 65,537 bytes replace `LARGE`.
const FIELDS: &str =
    "Request-Id: a\r\nRequest-Class: thumb\r\nTenant: acme\r\nRequest-Timeout: 1\r\n";

#[test_case("POST /api HTTP/1.1\r\nRequest-Class: thumb\r\nTenant: acme\r\nRequest-Timeout: 1\r\n\r\n", 400; "no id")]
#[test_case("POST /api HTTP/1.1\r\nRequest-Id: a\r\nRequest-Class: thumb\r\nTenant: acme\r\n\r\n", 400; "no time")]
#[test_case("POST /api HTTP/1.1\r\nFIELDSRequest-Timeout: 2\r\n\r\n", 400; "two times")]
#[test_case("POST /api HTTP/1.1\r\nFIELDSContent-Length: 3\r\nContent-Length: 4\r\n\r\n", 400; "two lengths")]
#[test_case("POST /api HTTP/1.1\r\nFIELDSContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", 400; "both framings")]
#[test_case("POST /api HTTP/1.1\r\nFIELDSContent-Length: -3\r\n\r\n", 400; "a negative length")]
#[test_case("POST /api HTTP/1.1\r\nFIELDSRequest-Info: wings=2\r\n\r\n", 400; "an unknown resource")]
#[test_case("POST /api HTTP/1.1\r\nFIELDSWork-Hint: soon\r\n\r\n", 400; "an unreadable hint")]
#[test_case("POST /api HTTP/1.1\r\nRequest-Id: a\r\nRequest-Class: no\r\nTenant: acme\r\nRequest-Timeout: 1\r\n\r\n", 400;
            "an unknown class")]
#[test_case("POST /api HTTP/1.1\r\nRequest-Id: a\r\nRequest-Class: thumb\r\nTenant: no\r\nRequest-Timeout: 1\r\n\r\n", 400;
            "an unknown tenant")]
#[test_case("POST /api HTTP/1.1\r\nFIELDSTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400; "a malformed chunk")]
#[test_case("POST /api HTTP/1.1\nFIELDS\nContent-Length: 1\r\n\r\n", 400; "a head that ends at bare line feeds")]
#[test_case("POST /api HTTP/1.0\r\nFIELDSTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400; "a coding in an old version")]
#[test_case("POST /api HTTP/1.1\r\nFIELDSContent-Length: 3, 3\r\n\r\n", 400; "a list of lengths")]
#[test_case("POST /api HTTP/1.1\r\nFIELDSContent-Length: +3\r\n\r\n", 400; "a length with a sign")]
#[test_case("no request at all\r\n\r\n", 400; "a malformed head")]
#[test_case("POST /api HTTP/1.1\r\nFIELDSContent-Length: 65537\r\n\r\n", 413; "a long body")]
#[test_case("POST /api HTTP/1.1\r\nFIELDSTransfer-Encoding: chunked\r\n\r\n10001\r\nLARGE", 413; "a long chunk")]
#[test_case("POST /api HTTP/1.1\r\nX: LARGE\r\n\r\n", 431; "a large head")]
#[test_case("PUT /api HTTP/1.1\r\nFIELDS\r\n", 405; "another method")]
#[test_case("GET /other HTTP/1.1\r\n\r\n", 405; "another target")]
fn an_invalid_request_is_refused_before_anything_is_sent(text: &str, status: u16) {
    let fleet = start_fleet(&[]);
    let mut client = fleet.daemon.client();
    client.send(
        text.replace("FIELDS", FIELDS)
            .replace("LARGE", &"x".repeat(65_537))
            .as_bytes(),
    );
    assert_eq!(
        client.read_response().map(|answer| answer.status),
        Some(status)
    );
    assert!(client.is_closed());
    assert_eq!(
        (fleet.daemon.counter("requests_malformed"), fleet.attempts()),
        (1, 0)
    );
    assert_eq!(
        fleet.daemon.client().exchange("next", "thumb", 5.0).status,
        200
    );
}
