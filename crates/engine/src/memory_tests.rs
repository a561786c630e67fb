//! Tests of what one dispatcher holds for its clients, and of the mutations that remove a limit.
use crate::engine::tests::{Fixture, worker};
use crate::engine::{CachedListUse, Input};
use crate::limits::ResourceLimits;
use rosewall::types::EndpointState;
use rosewall_protocol::client::RequestReader;
use rosewall_protocol::http::ReadBuffer;
use rosewall_protocol::names::Names;
use std::rc::Rc;

const KIB: usize = 1024;
const MIB: usize = 1024 * KIB;

/// A body must not be kept for a client that has left: nothing counts it any more.
#[test]
fn the_content_of_a_request_is_dropped_with_its_client() {
    let endpoints = vec![worker(EndpointState::Ready)];
    let usage = CachedListUse::UntilChanged;
    let mut fixture = Fixture::with_cached_list("non-idempotent", endpoints, usage);
    fixture.send_request_with_body(1, "id", &[b'x'; 64 * KIB]);
    assert!(fixture.held_bytes(1) >= 64 * KIB);

    fixture.handle(2, Input::ClientDisconnected(1));

    assert_eq!(fixture.held_bytes(1), "id".len());
}

/// While answers that nobody reads hold the memory, others may not use it as well.
#[test]
fn answers_that_are_written_count_against_the_limit() {
    let limits = Rc::new(ResourceLimits::new(1_024, 16));
    let one = limits.acquire_client().unwrap();
    let other = limits.acquire_client().unwrap();
    one.reserve_answer(5 * MIB, 0);
    assert!(!other.reserve_bytes(1));
}

/// A long id takes as much memory as a body of its length.
#[test]
fn the_head_of_a_request_counts_as_buffered() {
    let names = Names {
        classes: vec!["thumb".into()],
        ..Names::default()
    };
    let id = "i".repeat(10 * KIB);
    let head = format!(
        "POST / HTTP/1.1\r\nRequest-Id: {id}\r\nRequest-Class: thumb\r\nRequest-Timeout: 1\r\n\
         Content-Length: 5\r\n\r\n"
    );
    let mut reader = RequestReader::default();
    reader.feed(head.as_bytes());
    assert_eq!(reader.next_event(&names), None);
    assert!(reader.buffered_bytes() >= 10 * KIB);
}

/// A connection that once received much must not hold that memory while it is idle.
#[test]
fn an_empty_buffer_returns_its_memory() {
    let mut buffer = ReadBuffer::default();
    buffer.bytes.extend_from_slice(&[b'x'; 80 * KIB]);
    buffer.consume(80 * KIB);
    assert!(buffer.bytes.capacity() <= 16 * KIB);
}

/// Checks that these tests detect each mutation of the limits.
#[cfg(feature = "mutations")]
#[test]
fn every_limits_mutation_is_detected() {
    use rosewall::mutation::{LIMITS, Mutation, activate};
    let tests_for = |mutation| match mutation {
        Mutation::KeepCompletedTimers => {
            crate::engine::timers_of_completed_requests_do_not_accumulate();
        }
        Mutation::KeepContentWithoutClient => the_content_of_a_request_is_dropped_with_its_client(),
        Mutation::IgnoreAnswerBytes => answers_that_are_written_count_against_the_limit(),
        Mutation::IgnoreHeadBytes => the_head_of_a_request_counts_as_buffered(),
        Mutation::KeepBufferMemory => an_empty_buffer_returns_its_memory(),
        _ => {}
    };
    for mutation in LIMITS.iter().copied() {
        activate(Some(mutation));
        let result = std::panic::catch_unwind(|| tests_for(mutation));
        activate(None);
        assert!(result.is_err(), "{mutation:?} was not detected");
    }
}
