//! Scenario files: reading, writing, validation and the stability of the stored form.
use rosewall_simulation::explore::scenario_for_seed;
use rosewall_simulation::generate::{generate, with_send_delays};
use rosewall_simulation::scenario::{Scenario, read, write};
use std::path::Path;
use test_case::test_case;

const VALID: &str = include_str!("../scenarios/drain-meets-retry.toml");

#[test]
fn every_scenario_file_of_the_repository_is_read() {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("scenarios");
    let mut count = 0;

    for entry in std::fs::read_dir(directory).unwrap() {
        let path = entry.unwrap().path();
        let text = std::fs::read_to_string(&path).unwrap();
        let scenario = read(&text).unwrap_or_else(|error| panic!("{}: {error}", path.display()));
        assert_eq!(read(&write(&scenario).unwrap()).unwrap(), scenario);
        count += 1;
    }

    assert_eq!(count, 24);
}

#[test]
fn a_written_scenario_is_read_back_unchanged() {
    for seed in 0..50 {
        let generated = scenario_for_seed(seed, None);
        assert_eq!(read(&write(&generated).unwrap()).unwrap(), generated);
    }
}

/// Later versions read stored scenarios, so renaming a field in the code must not change the
/// written text.
#[test]
fn the_text_of_generated_scenario_files_is_stable() {
    assert_eq!(digest_of_texts(generate), 16_320_123_376_820_583_873);
    assert_eq!(
        digest_of_texts(|seed| with_send_delays(generate(seed))),
        14_606_757_053_023_902_540
    );
}

/// Returns a digest of the texts of 500 scenarios.
fn digest_of_texts(generate: impl Fn(u64) -> Scenario) -> u64 {
    let mut digest = 0xcbf2_9ce4_8422_2325_u64;
    for seed in 0..500 {
        for byte in write(&generate(seed)).unwrap().bytes() {
            digest = (digest ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }
    digest
}

#[test_case("kind = \"drain\"", "kind = \"drian\"", "line 40"; "an unknown kind of fault")]
#[test_case("length_ms", "lenght_ms", "line 4"; "an unknown key")]
#[test_case("target = 0", "target = 9", "line 38: there is no worker with this index"; "an unknown worker")]
#[test_case("dispatchers = 2", "dispatchers = 0", "line 5: the number of dispatchers must be from 1 to 4096"; "no dispatcher")]
#[test_case("work_ms = [10.0, 30.0]", "work_ms = [30.0, 10.0]", "line 32: work_ms must be greater than 0"; "work that ends before it begins")]
fn an_invalid_scenario_is_reported_with_its_line(from: &str, to: &str, message: &str) {
    let error = read(&VALID.replacen(from, to, 1)).unwrap_err().to_string();

    assert!(error.starts_with(message), "{error}");
}
