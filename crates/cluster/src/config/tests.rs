//! Valid files, and the errors of invalid ones.
use super::*;
use crate::error::ClusterError;
use test_case::test_case;

const VALID: &str = "version = 1\ncluster = \"shop\"\nname = \"n1\"\nlisten = \"10.0.0.1:7946\"\nseeds = [\"10.0.0.2:7946\"]\n";

fn parse_text(text: &str) -> Result<ClusterConfig, ClusterError> {
    parse(Path::new("c.toml"), text)
}

#[test]
fn a_valid_file_is_parsed() {
    let config = parse_text(&format!("{VALID}keepers = [\"a\", \"b\", \"c\"]\n")).unwrap();

    assert_eq!(config.name, "n1");
    assert_eq!(config.quorum.len(), 3);
    assert_eq!(config.max_clock_skew, 10_000_000_000);
    assert_eq!(config.seeds, ["10.0.0.2:7946".parse().unwrap()]);
}

#[test]
fn the_example_under_deploy_is_valid() {
    let text = include_str!("../../../../deploy/cluster.toml");

    assert_eq!(parse_text(text).unwrap().quorum, ["n1", "n2", "n3"]);
}

#[test_case("seedz = []", "c.toml:6: unknown key \"seedz\", the nearest known key is \"seeds\""; "unknown key")]
#[test_case("keepers = [\"a\", \"b\"]", "c.toml:6: keepers must name 1, 3 or 5 dispatchers, each once, got 2 different names"; "two quorum members")]
#[test_case("keepers = [\"a\", \"a\", \"b\"]", "c.toml:6: keepers must name 1, 3 or 5 dispatchers, each once, got 2 different names"; "one quorum member twice")]
#[test_case("through = \"host:1\"", "c.toml:6: through must be an IPv4 address and a port, such as \"10.0.0.4:7946\", got \"host:1\""; "an address with a host name")]
#[test_case("clocks_ms = -1", "c.toml:6: clocks_ms must be from 0 to 3600000 (ms), got -1"; "a negative skew")]
#[test_case("x = [", "c.toml:6: invalid TOML: "; "invalid TOML")]
fn an_error_names_file_line_and_key(line: &str, message: &str) {
    let error = parse_text(&format!("{VALID}{line}\n")).unwrap_err();

    assert!(error.line().contains(message), "{}", error.line());
    assert!(error.line().starts_with(error.code()) && error.line().ends_with(error.remedy()));
}

#[test]
fn a_missing_key_is_named() {
    let error = parse_text(&VALID.replace("name = \"n1\"\n", "")).unwrap_err();

    assert!(
        matches!(error, ClusterError::Missing { key: "name", .. }),
        "{error:?}"
    );
}

#[test_case("keeper", Some("keepers"))]
#[test_case("clock_ms", Some("clocks_ms"))]
#[test_case("zzz", None)]
fn the_nearest_known_key_is_suggested(word: &str, expected: Option<&str>) {
    assert_eq!(nearest(word, &["seeds", "keepers", "clocks_ms"]), expected);
}
