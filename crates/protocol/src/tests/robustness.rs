//! Checks that mutated messages cause no panic, no endless loop and no second end of an attempt.
use super::{
    DONE_LINE, REQUEST_HEAD, STARTED_LINE, attempt_progress, client_events, names,
    streamed_response,
};
use crate::discovery::{EndpointListReader, decode_endpoint_list};
use crate::worker::{AttemptProgress, HealthCheckReader};
use rosewall::pcg::Pcg;
use test_case::test_case;

#[test_case(1; "seed 1")]
#[test_case(2; "seed 2")]
#[test_case(3; "seed 3")]
fn mutated_messages_end_an_attempt_at_most_once(seed: u64) {
    let mut rng = Pcg::new(seed);
    let valid = [
        &streamed_response(&[STARTED_LINE, DONE_LINE])[..],
        REQUEST_HEAD.as_bytes(),
        b"Content-Length: 5\r\n\r\nhello",
    ]
    .concat();
    for _ in 0..3_000 {
        let mut bytes = valid[(rng.unit() * valid.len() as f64) as usize..].to_vec();
        for _ in 0..(rng.unit() * 8.0) as usize {
            let at = (rng.unit() * bytes.len() as f64) as usize;
            bytes[at] = (rng.unit() * 256.0) as u8;
        }
        let size = 1 + (rng.unit() * 40.0) as usize;
        let _ = client_events(&bytes, size);
        let ends = attempt_progress(&bytes, size)
            .0
            .iter()
            .filter(|progress| **progress != AttemptProgress::Started)
            .count();
        assert!(ends <= 1);
        let _ = HealthCheckReader::new(&["x0".to_string()]).feed(&bytes);
        let _ = EndpointListReader::default().feed(&bytes);
        let _ = decode_endpoint_list(&bytes, &names());
    }
}
