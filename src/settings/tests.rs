//! Tests of the errors for missing and invalid settings.
use super::{Settings, SettingsError, SettingsMap, read_setting};
use crate::policy::test_support::settings;
use test_case::test_case;

fn settings_with(name: &str, value: &str) -> SettingsMap {
    let mut map = settings();
    map.insert(name.into(), value.into());
    map
}

#[test_case("overload.multiple", "-1" => "setting overload.multiple is out of range: -1"; "a negative number")]
#[test_case("retry_after.max", "1e18" => "setting retry_after.max is out of range: 1000000000000000000"; "a time above the limit")]
#[test_case("start_notes", "perhaps" => "setting start_notes cannot be read: \"perhaps\""; "not a flag")]
#[test_case("priority_weight.basis", "mood" => "setting priority_weight.basis cannot be read: \"mood\""; "not a weight basis")]
fn names_the_invalid_setting(name: &str, value: &str) -> String {
    Settings::read(&settings_with(name, value))
        .unwrap_err()
        .to_string()
}

#[test]
fn rejects_a_rank_not_below_the_dispatchers_that_exchange_load() {
    let mut map = settings_with("me", "2");
    assert!(Settings::read(&map).is_ok());
    map.insert("peer_load.allowed".into(), "true".into());
    let expected = SettingsError::RankOutOfRange {
        rank: 2.0,
        dispatchers: 2.0,
    };
    assert_eq!(Settings::read(&map).unwrap_err(), expected);
}

#[test]
fn names_the_missing_setting() {
    assert_eq!(
        read_setting::<usize>(&SettingsMap::new(), "class.count"),
        Err(SettingsError::Missing {
            name: "class.count".into()
        })
    );
}
