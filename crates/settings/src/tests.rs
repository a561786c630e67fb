//! Tests of mapping the operators' setting names and values to the internal ones and back.
use super::{SettingsMap, operators_path, parse_settings};

fn value<'a>(map: &'a SettingsMap, name: &str) -> Option<&'a str> {
    map.get(name).map(String::as_str)
}

#[test]
fn settings_of_classes_and_tenants_are_named_by_their_index() {
    let map = parse_settings([
        ("Schemes.1.Idempotency", "by_key"),
        ("Schemes.1.Name", "once"),
        ("Parties.0.Portion", "0.5"),
        ("Elsewhere.0.Portion", "0.5"),
    ]);
    assert_eq!(
        value(&map, "class.1.idempotency"),
        Some("idempotent-with-key")
    );
    assert_eq!(value(&map, "class.1.name"), Some("once"));
    assert_eq!(value(&map, "tenant.0.share"), Some("0.5"));
    assert_eq!(map.len(), 3);
}

#[test]
fn a_class_setting_overrides_the_value_listed_for_each_class() {
    let map = parse_settings([
        ("Schemes.0.AimStretch", "3"),
        ("FamilyInfo.ClassStretch", "1,2"),
    ]);
    assert_eq!(value(&map, "class.0.objective_stretch"), Some("3"));
    assert_eq!(value(&map, "class.1.objective_stretch"), Some("2"));
}

#[test]
fn site_specific_report_fields_are_replaced_by_their_meaning() {
    let map = parse_settings([
        ("Report.Fields", "load_share,x0"),
        ("FamilyInfo.ReportX0", "free_slots"),
    ]);
    assert_eq!(value(&map, "report.fields"), Some("busy,free-slots"));
    assert_eq!(value(&map, "report.wire_fields"), Some("load_share,x0"));
}

#[test]
fn operators_path_finds_the_path_of_a_setting() {
    let paths = [
        ("slow_start.from", "Contract.ColdFrom"),
        ("me", "Me"),
        ("class.2.deadline", "Schemes.2.ExpiryNs"),
        ("tenant.0.share", "Parties.0.Portion"),
        ("report.fields", "Report.Fields"),
    ];
    for (name, path) in paths {
        assert_eq!(operators_path(name).as_deref(), Some(path));
    }
    assert_eq!(operators_path("warm_up_grants"), None);
    assert_eq!(operators_path("class.2.unknown"), None);
}
