//! What is given at the start, without a file.
use super::given::{names, read, stop_within};
use rosewall_settings::ours;
use test_case::test_case;

const GIVEN: &str = r#"{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"ff","limits":{"memory_mb":192,"sockets":64},
    "settings":{"Me":2,"Bounds":{"Probes":true},"Zones":["a b","c"],"Kinds":[],"Parties":[{"Name":"once"}],
    "FamilyInfo":{"ClassStretch":[2.0,1.5]},"Schemes":[{"Name":"thumb","Idempotency":"once"},{"Name":"x,y"}]}}"#;

#[test_case("me", "2"; "a number")]
#[test_case("probe.allowed", "true"; "a nested value")]
#[test_case("zones", "a_b,c"; "a list of words")]
#[test_case("scheme.count", "2"; "a count")]
#[test_case("scheme.0.effect", "once-only"; "a word of theirs")]
#[test_case("scheme.1.stretch", "1.5"; "a value for each scheme")]
#[test_case("party.0.name", "once"; "a name that is a word elsewhere")]
fn settings_become_a_plain_map(name: &str, value: &str) {
    let given = read(GIVEN.as_bytes()).unwrap();
    assert_eq!(given.map.get(name).map(String::as_str), Some(value));
}

#[test]
fn names_are_found_in_their_order() {
    let names = names(&read(GIVEN.as_bytes()).unwrap().map);
    assert_eq!(
        (names.schemes, names.parties),
        (vec!["thumb".into(), "x_y".into()], vec!["once".to_string()])
    );
    assert_eq!(names.zones, ["a_b", "c"]);
}

#[test_case("seed\":\"ff", "seed\":\"never"; "a seed that is no number")]
#[test_case("127.0.0.1:0", "here"; "an address without sense")]
#[test_case("\"limits\"", "\"other\""; "no limits")]
fn an_unusable_configuration_is_told(from: &str, to: &str) {
    assert!(read(GIVEN.replace(from, to).as_bytes()).is_err());
}

/// The kill comes the longest expiry, 3 s at most, and 0.7 s after the signal, and not sooner.
#[test_case(&["1000000000"] => 1_400_000_000; "short expiries")]
#[test_case(&["1000000000", "2000000000"] => 2_400_000_000; "the longest counts")]
#[test_case(&["20000000000"] => 3_400_000_000; "long ones")]
fn a_stop_answers_before_the_kill(expiries: &[&str]) -> u64 {
    let paths: Vec<String> = (0..expiries.len()).map(|at| format!("Schemes.{at}.ExpiryNs")).collect();
    stop_within(&ours(paths.iter().map(String::as_str).zip(expiries.iter().copied())))
}
