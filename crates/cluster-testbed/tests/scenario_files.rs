//! Compatibility of scenario files: existing files stay readable, and a seed keeps generating the same scenario.
use rosewall_cluster_testbed::scenario::Scenario;
use std::path::{Path, PathBuf};
use test_case::test_case;

fn file(seed: u64) -> PathBuf {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/scenarios");
    folder.join(format!("drawn-{seed}.toml"))
}

#[test_case(7)]
#[test_case(19)]
fn stored_file_of_a_seed_reads_as_its_generated_scenario(seed: u64) {
    let scenario = Scenario::load(&file(seed)).unwrap();

    assert_eq!(scenario, Scenario::generate(seed));
}

#[test_case(7)]
#[test_case(19)]
fn generated_scenario_is_written_as_the_stored_file_of_its_seed(seed: u64) {
    let text = toml::to_string(&Scenario::generate(seed)).unwrap();

    assert_eq!(text, std::fs::read_to_string(file(seed)).unwrap());
}

#[test]
fn file_with_every_key_is_read_and_written_unchanged() {
    let scenario = Scenario::load(&file_with_every_key()).unwrap();

    let text = toml::to_string(&scenario).unwrap();
    let written = std::fs::read_to_string(file_with_every_key()).unwrap();
    assert_eq!(text, written);
}

fn file_with_every_key() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/scenarios/every-key.toml")
}
