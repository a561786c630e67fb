//! Tests of the network delay estimates of zones.
use super::*;
use test_case::test_case;

const MS: f64 = 1e6;

/// Start delays in milliseconds: in zone 1, the dispatcher's own, and in zone 2.
#[test_case(&[], &[] => 0; "no observations")]
#[test_case(&[2.0], &[] => 0; "own zone alone")]
#[test_case(&[], &[80.0] => 80; "another zone alone")]
#[test_case(&[2.0, 900.0], &[2_000.0, 82.0] => 80; "queues do not count as network delay")]
#[test_case(&[900.0, 900.0], &[900.0] => 0; "queues in all zones")]
#[test_case(&[30.0], &[10.0] => 0; "the other zone is nearer")]
fn extra_delay_of_another_zone(same: &[f64], other: &[f64]) -> i64 {
    let mut delays = ZoneDelays::new(1);
    same.iter().for_each(|delay| delays.observe(1, delay * MS));
    other.iter().for_each(|delay| delays.observe(2, delay * MS));
    assert_eq!(delays.extra_delay(1), 0.0);
    (delays.extra_delay(2) / MS).round() as i64
}

#[test]
fn the_estimate_follows_a_network_that_becomes_slower() {
    let mut delays = ZoneDelays::new(0);
    delays.observe(3, 10.0 * MS);
    (0..30).for_each(|_| delays.observe(3, 40.0 * MS));
    assert_eq!(delays.extra_delay(3), 40.0 * MS);
}

#[test_case(2_000.0 => 0; "negligible for a large slack")]
#[test_case(100.0 => 750; "most of a small slack")]
fn slack_usage_of_the_extra_delay(slack: f64) -> i64 {
    let mut delays = ZoneDelays::new(0);
    delays.observe(1, 80.0 * MS);
    (delays.slack_usage(1, slack * MS) * 1000.0).round() as i64
}
