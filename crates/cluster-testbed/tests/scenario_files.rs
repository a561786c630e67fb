//! Scenario files that operators have written stay readable, and a seed stays the same scenario.
use rosewall_cluster_testbed::scenario::Scenario;
use std::path::{Path, PathBuf};
use test_case::test_case;

fn file(seed: u64) -> PathBuf {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/scenarios");
    folder.join(format!("drawn-{seed}.toml"))
}

#[test_case(7)]
#[test_case(19)]
fn file_of_a_drawn_scenario_still_reads_as_that_scenario(seed: u64) {
    let scenario = Scenario::load(&file(seed)).unwrap();

    assert_eq!(scenario, Scenario::generate(seed));
}

#[test_case(7)]
#[test_case(19)]
fn drawn_scenario_is_still_written_with_the_same_keys_and_values(seed: u64) {
    let text = toml::to_string(&Scenario::generate(seed)).unwrap();

    assert_eq!(text, std::fs::read_to_string(file(seed)).unwrap());
}

#[test]
fn file_with_every_key_still_reads() {
    let scenario = Scenario::load(&file_with_every_key()).unwrap();

    let text = toml::to_string(&scenario).unwrap();
    let written = std::fs::read_to_string(file_with_every_key()).unwrap();
    assert_eq!(text, written);
}

fn file_with_every_key() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/scenarios/every-key.toml")
}
