use super::*;
use crate::error::ClusterError;
use std::path::Path;
use test_case::test_case;

const GOOD: &str = "version = 1\ncluster = \"shop\"\nname = \"n1\"\nlisten = \"10.0.0.1:7946\"\nseeds = [\"10.0.0.2:7946\"]\n";

#[test]
fn a_file_is_read() {
    let cluster_config = parse(
        Path::new("c.toml"),
        &format!("{GOOD}keepers = [\"a\", \"b\", \"c\"]\n"),
    )
    .unwrap();
    assert_eq!(
        (
            cluster_config.name.as_str(),
            cluster_config.quorum.len(),
            cluster_config.max_clock_skew
        ),
        ("n1", 3, 10_000_000_000)
    );
    assert_eq!(cluster_config.seeds, ["10.0.0.2:7946".parse().unwrap()]);
}

#[test]
fn the_example_under_deploy_is_one() {
    let text = include_str!("../../../../deploy/cluster.toml");
    assert_eq!(
        parse(Path::new("cluster.toml"), text).unwrap().quorum,
        ["n1", "n2", "n3"]
    );
}

#[test_case("seedz = []", "c.toml:6: no key is called \"seedz\", the nearest is \"seeds\""; "unknown key")]
#[test_case("keepers = [\"a\", \"b\"]", "c.toml:6: keepers are 2"; "two keepers")]
#[test_case("keepers = [\"a\", \"a\", \"b\"]", "c.toml:6: keepers are 2"; "one keeper twice")]
#[test_case("through = \"host:1\"", "c.toml:6: through is \"host:1\", but has to be an IPv4 address"; "an address with a name")]
#[test_case("clocks_ms = -1", "c.toml:6: clocks_ms is -1"; "below none")]
#[test_case("x = [", "c.toml:6: this is not TOML"; "no toml")]
fn a_fault_names_file_line_and_key(more: &str, says: &str) {
    let fault = parse(Path::new("c.toml"), &format!("{GOOD}{more}\n")).unwrap_err();
    assert!(fault.line().contains(says), "{}", fault.line());
    assert!(fault.line().starts_with(fault.code()) && fault.line().ends_with(fault.remedy()));
}

#[test]
fn what_is_missing_is_named() {
    let fault = parse(Path::new("c.toml"), &GOOD.replace("name = \"n1\"\n", "")).unwrap_err();
    assert!(
        matches!(fault, ClusterError::Missing { key: "name", .. }),
        "{fault:?}"
    );
}

#[test_case("keeper", Some("keepers"))]
#[test_case("clock_ms", Some("clocks_ms"))]
#[test_case("zzz", None)]
fn the_key_that_was_meant_is_found(word: &str, meant: Option<&str>) {
    assert_eq!(nearest(word, &["seeds", "keepers", "clocks_ms"]), meant);
}
