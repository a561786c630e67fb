//! JSON reports: the keys and rule numbers that scripts read stay the same.
use rosewall_cluster_testbed::checker::{Rule, SlowStartUse, Violation};
use rosewall_cluster_testbed::scale::measurement::Measurement;
use rosewall_cluster_testbed::testbed::Report;
use serde_json::{Value, json};
use std::collections::BTreeSet;
use test_case::test_case;

fn report() -> Report {
    Report {
        name: "name".to_string(),
        seed: 7,
        violations: Vec::new(),
        requests: 10,
        succeeded: 6,
        rejected: 2,
        failed: 1,
        unsuccessful_share: 0.4,
        slow_start: Vec::new(),
        imbalance: 1.25,
        datagrams: 300,
        lost: 30,
        bytes_per_second: 2.5,
    }
}

#[test]
fn report_keeps_its_keys() {
    let written = serde_json::to_value(report()).unwrap();

    let expected = json!({
        "name": "name", "seed": 7, "violations": [], "asked": 10, "settled": 6, "declined": 2, "reversed": 1,
        "missed": 0.4, "cold": [], "uneven": 1.25, "datagrams": 300, "lost": 30, "bytes": 2.5,
    });
    assert_eq!(written, expected);
}

#[test_case(Rule::Response, 1)]
#[test_case(Rule::Idempotency, 2)]
#[test_case(Rule::Drain, 3)]
#[test_case(Rule::SlowStart, 4)]
fn violation_keeps_the_number_of_its_rule(rule: Rule, number: u8) {
    let violation = Violation {
        rule,
        at_ms: 1_200,
        description: "text".to_string(),
    };

    let written = serde_json::to_value(violation).unwrap();

    assert_eq!(
        written,
        json!({"rule": number, "at_ms": 1_200, "what": "text"})
    );
}

#[test]
fn slow_start_use_keeps_its_keys() {
    let usage = SlowStartUse {
        worker: 3,
        requests: 5,
        work_s: 1.5,
        share_of_half: 0.75,
        worst_window: 0.5,
    };

    let written = serde_json::to_value(usage).unwrap();

    let expected =
        json!({"worker": 3, "postings": 5, "work_s": 1.5, "of_half": 0.75, "worst": 0.5});
    assert_eq!(written, expected);
}

/// Collects the paths of all keys of an object and of the objects in it.
fn key_paths(value: &Value, prefix: &str, paths: &mut BTreeSet<String>) {
    for (key, inner) in value.as_object().into_iter().flatten() {
        let path = format!("{prefix}/{key}");
        key_paths(inner, &path, paths);
        paths.insert(path);
    }
}

#[test]
fn measurement_has_all_keys_of_the_stored_capacity_measurements() {
    let stored = include_str!("../../../docs/capacity/fleet.jsonl");
    let current = serde_json::to_value(Measurement::default()).unwrap();
    let mut written = BTreeSet::new();
    key_paths(&current, "", &mut written);

    // A sweep also has lines of another form: the fitted slopes at its end.
    let measurements = stored.lines().filter(|line| line.starts_with(r#"{"plan""#));
    for line in measurements {
        let mut expected = BTreeSet::new();
        key_paths(&serde_json::from_str(line).unwrap(), "", &mut expected);

        let missing: Vec<_> = expected.difference(&written).collect();
        assert!(missing.is_empty(), "{missing:?}");
    }
}
