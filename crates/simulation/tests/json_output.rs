//! Stability of the JSON output: other programs read its keys and rule names, so renaming a field
//! must not change them.
use rosewall_simulation::checker::Rule;
use rosewall_simulation::explore::explore;
use rosewall_simulation::explore::scenario_for_seed;
use rosewall_simulation::simulation::{Trace, run_scenario};
use serde_json::Value;
use test_case::test_case;

fn keys(value: &Value) -> Vec<&str> {
    let mut keys: Vec<&str> = value
        .as_object()
        .unwrap()
        .keys()
        .map(String::as_str)
        .collect();
    keys.sort_unstable();
    keys
}

#[test]
fn the_json_keys_of_a_summary_are_stable() {
    let summary = serde_json::to_value(explore(0..1, 1, None, |_| ())).unwrap();

    assert_eq!(
        keys(&summary),
        [
            "broken",
            "digest",
            "fell_by_root",
            "postings",
            "settled",
            "steps",
            "txns",
            "violations",
            "virtual_s",
            "worlds"
        ]
    );
}

#[test]
fn the_json_keys_of_a_report_are_stable() {
    let report = run_scenario(&scenario_for_seed(0, None), Trace::Off);
    let report = serde_json::to_value(report).unwrap();

    assert_eq!(
        keys(&report),
        [
            "digest",
            "seed",
            "steps",
            "tally",
            "violations",
            "virtual_s"
        ]
    );
    assert_eq!(
        keys(&report["tally"]),
        [
            "classes",
            "declined",
            "excused",
            "fell_by_root",
            "in_time",
            "left",
            "postings",
            "reversed",
            "settled",
            "txns"
        ]
    );
}

#[test_case(Rule::Answer => "answer")]
#[test_case(Rule::Idempotency => "effect")]
#[test_case(Rule::Drain => "drain")]
#[test_case(Rule::SlowStart => "cold")]
#[test_case(Rule::SentAfterEnd => "over")]
#[test_case(Rule::InvalidRequest => "bad")]
#[test_case(Rule::Descriptors => "descriptors")]
#[test_case(Rule::ResourceLeak => "given-back")]
#[test_case(Rule::Shutdown => "stop")]
#[test_case(Rule::Program => "program")]
fn the_json_name_of_a_rule_is_stable(rule: Rule) -> String {
    serde_json::to_value(rule)
        .unwrap()
        .as_str()
        .unwrap()
        .to_string()
}
