//! Tests of the totals over logs and of the printed tables.
use super::Statistics;
use crate::second_counts::SecondCounts;
use std::time::Duration;

const LOG: &str = "0.0 DEBUG at=5000000000 host=a listed Ready born=0\n\
    0.0 DEBUG at=5000000000 host=b listed Ready born=4000000000\n\
    0.0 INFO listening on 127.0.0.1:1\n\
    0.1 DEBUG at=5100000000 request=1 arrived class=0 hint=5\n\
    0.1 DEBUG at=5100000000 request=1 attempt=0 sent host=b\n\
    0.1 DEBUG at=5200000000 request=1 attempt=0 ended ConnectFailed\n\
    0.1 DEBUG at=5200000000 request=1 attempt=1 sent host=a\n\
    1.1 DEBUG at=6200000000 request=1 attempt=1 ended Succeeded\n\
    1.2 DEBUG at=6300000000 request=2 arrived class=0 hint=5\n\
    1.2 DEBUG at=6300000000 request=2 answered Rejected { retry_after: 5 }\n\
    1.3 DEBUG at=64000";

const LOG_OF_VERSION_0_1: &str = "0.0 DEBUG at=5000000000 host=a listed Ready born=0\n\
    0.0 DEBUG at=5000000000 host=b listed Ready born=4000000000\n\
    0.0 INFO listening on 127.0.0.1:1\n\
    0.1 DEBUG at=5100000000 txn=1 arrived scheme=0 hint=5\n\
    0.1 DEBUG at=5100000000 txn=1 leg=0 posted host=b\n\
    0.1 DEBUG at=5200000000 txn=1 leg=0 ended NoConnection\n\
    0.1 DEBUG at=5200000000 txn=1 leg=1 posted host=a\n\
    1.1 DEBUG at=6200000000 txn=1 leg=1 ended Settled\n\
    1.2 DEBUG at=6300000000 txn=2 arrived scheme=0 hint=5\n\
    1.2 DEBUG at=6300000000 txn=2 answered Declined { come_back: 5 }\n\
    1.3 DEBUG at=64000";

/// Adds one log twice and checks that it is counted as the logs of two dispatchers.
fn assert_totals_of_two_dispatchers(log: &str) {
    let mut statistics = Statistics::new(Duration::from_secs(3));

    statistics.add_log(log);
    statistics.add_log(log);

    let fifth_second = SecondCounts {
        arrived: 2,
        to_warm: 2,
        to_cold: 2,
        connect_failed: 2,
        ..SecondCounts::default()
    };
    let sixth_second = SecondCounts {
        arrived: 2,
        succeeded: 2,
        rejected: 2,
        unattempted: 2,
        ..SecondCounts::default()
    };
    assert_eq!(statistics.seconds[&5], fifth_second);
    assert_eq!(statistics.seconds[&6], sixth_second);
    let text = statistics.to_string();
    assert!(text.contains("2 logs, 2 workers, 4 attempts"), "{text}");
    assert!(text.contains("b 2 50.0% 2"), "{text}");
}

#[test]
fn logs_of_several_dispatchers_are_summed_by_second_and_by_worker() {
    assert_totals_of_two_dispatchers(LOG);
}

#[test]
fn logs_of_version_0_1_have_the_same_totals() {
    assert_totals_of_two_dispatchers(LOG_OF_VERSION_0_1);
}

#[test]
fn columns_are_aligned_with_their_names() {
    let mut statistics = Statistics::new(Duration::from_secs(3));
    statistics.add_log(LOG);

    let text = statistics.to_string();
    let lines: Vec<&str> = text.lines().collect();

    assert!(lines[0].starts_with("second  arrived succeeded rejected unattempted"));
    assert_eq!(lines[0].len(), lines[1].len());
    assert_eq!(lines[1].len(), lines[2].len());
}
