//! Tests of parsing and validating the configuration file.
use super::runtime_settings::shutdown_timeout;
use super::{Config, EndpointsMode, RuntimeSettings};
use rosewall_settings::parse_settings;
use test_case::test_case;

/// File with settings of each JSON type.
const CONFIG: &str = r#"{
    "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "ff",
    "limits": {"memory_mb": 192, "sockets": 64},
    "settings": {
        "Me": 2, "Bounds": {"Probes": true}, "Zones": ["a b", "c"], "Kinds": [], "Parties": [{"Name": "once"}],
        "FamilyInfo": {"ClassStretch": [2.0, 1.5]},
        "Schemes": [{"Name": "thumb", "Idempotency": "once"}, {"Name": "x,y"}]
    }
}"#;

/// Valid file with addresses for load reports.
const CONFIG_WITH_PEERS: &str = r#"{
    "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "ff",
    "limits": {"memory_mb": 192, "sockets": 64},
    "talk": {"listen": "127.0.0.1:7001", "peers": ["127.0.0.1:7000", "127.0.0.1:7001"]},
    "settings": {
        "Me": 1, "Siblings": 2, "RegistryMode": "pushed", "Report": {"Fields": []},
        "Bounds": {"Peers": true, "MaxPostings": 3, "RetryAfter": true, "MaxRetryAfterNs": 1},
        "Contract": {"ColdFrom": 0.2, "ColdNs": 1, "FallMultiple": 3.0, "FallNs": 1},
        "FamilyInfo": {"TellsStart": true},
        "Schemes": [{"Name": "x", "Idempotency": "once", "Group": "all",
            "WindowNs": 1, "SlaTimeNs": 1, "ExpiryNs": 1, "Value": 1.0}]
    }
}"#;

fn parse(text: &str) -> Config {
    Config::parse(text.as_bytes()).unwrap()
}

/// Parses `CONFIG_WITH_PEERS` with the first occurrence of `from` replaced. Panics if there is
/// none.
fn config_with_peers_replacing(from: &str, to: &str) -> Config {
    assert!(
        CONFIG_WITH_PEERS.contains(from),
        "{from} is not in the file"
    );
    parse(&CONFIG_WITH_PEERS.replacen(from, to, 1))
}

#[test_case("me", "2"; "a number")]
#[test_case("health_check.allowed", "true"; "a nested value")]
#[test_case("zones", "a_b,c"; "a list of words")]
#[test_case("class.count", "2"; "a count")]
#[test_case("class.0.idempotency", "non-idempotent"; "a translated value")]
#[test_case("class.1.objective_stretch", "1.5"; "a value for each class")]
#[test_case("tenant.0.name", "once"; "a name that equals a translated value")]
fn settings_are_flattened_to_internal_names(name: &str, value: &str) {
    let config = parse(CONFIG);
    assert_eq!(config.settings.get(name).map(String::as_str), Some(value));
}

#[test]
fn names_keep_the_order_of_the_file() {
    let names = parse(CONFIG).names();
    assert_eq!(
        (names.classes, names.tenants),
        (vec!["thumb".into(), "x_y".into()], vec!["once".to_string()])
    );
    assert_eq!(names.zones, ["a_b", "c"]);
}

#[test_case("seed\": \"ff", "seed\": \"never"; "a seed that is not a number")]
#[test_case("127.0.0.1:0", "here"; "not an address")]
#[test_case("\"limits\"", "\"other\""; "no limits section")]
fn rejects_an_invalid_file(from: &str, to: &str) {
    assert!(CONFIG.contains(from), "{from} is not in the file");
    assert!(Config::parse(CONFIG.replace(from, to).as_bytes()).is_err());
}

/// The process is killed after the longest deadline (at most 3 s) plus 0.7 s from the signal. The
/// shutdown must end 0.3 s before.
#[test_case(&["1000000000"] => 1_400_000_000; "short deadlines")]
#[test_case(&["1000000000", "2000000000"] => 2_400_000_000; "the longest deadline applies")]
#[test_case(&["20000000000"] => 3_400_000_000; "deadlines above the maximum")]
fn a_shutdown_ends_before_the_kill(deadlines: &[&str]) -> u64 {
    let paths: Vec<String> = (0..deadlines.len())
        .map(|at| format!("Schemes.{at}.ExpiryNs"))
        .collect();
    shutdown_timeout(&parse_settings(
        paths
            .iter()
            .map(String::as_str)
            .zip(deadlines.iter().copied()),
    ))
}

#[test]
fn runtime_settings_have_defaults() {
    let runtime = parse(CONFIG).runtime;
    assert_eq!(
        runtime,
        RuntimeSettings {
            connect_timeout: 250_000_000,
            idle_timeout: 5_000_000_000,
            shutdown_timeout: 3_400_000_000,
            drain_grace: 0,
            slow_start_duration: 0,
            endpoints_mode: EndpointsMode::Pushed,
            report_fields: Vec::new(),
            rank: Some(2),
        }
    );
}

#[test]
fn runtime_settings_are_read_from_the_file() {
    let bounds = r#""Bounds": {"ConnectTimeoutNs": 7, "ConnIdleNs": 8, "#;
    let text = CONFIG_WITH_PEERS
        .replacen(r#""Bounds": {"#, bounds, 1)
        .replacen("pushed", "on_request", 1)
        .replacen(
            r#""Contract": {"#,
            r#""Contract": {"StopSendingWithinNs": 9, "#,
            1,
        )
        .replacen(r#""Fields": []"#, r#""Fields": ["depth", "err_ps"]"#, 1);
    assert_eq!(
        parse(&text).runtime,
        RuntimeSettings {
            connect_timeout: 7,
            idle_timeout: 8,
            shutdown_timeout: 400_000_001,
            drain_grace: 9,
            slow_start_duration: 1,
            endpoints_mode: EndpointsMode::Polled,
            report_fields: vec!["depth".into(), "err_ps".into()],
            rank: Some(1),
        }
    );
}

#[test_case("", "" => Ok(()); "valid")]
#[test_case("\"Me\": 1", "\"Me\": 2" => Err("setting me is out of range: 2 of 2 dispatchers (settings.Me in the file)".into()); "a rank beyond the dispatchers")]
#[test_case("\"Peers\": true", "\"Peers\": \"often\"" => Err("setting peer_load.allowed cannot be read: \"often\" (settings.Bounds.Peers in the file)".into()); "a value of the wrong type")]
#[test_case("\"ColdFrom\": 0.2", "\"ColdFrom\": -1" => Err("setting slow_start.from is out of range: -1 (settings.Contract.ColdFrom in the file)".into()); "a negative value")]
#[test_case("\"ColdFrom\": 0.2,", "" => Err("setting slow_start.from is missing (settings.Contract.ColdFrom in the file)".into()); "a missing setting")]
#[test_case("\"ExpiryNs\": 1,", "" => Err("setting class.0.deadline is missing (settings.Schemes.0.ExpiryNs in the file)".into()); "a class without a deadline")]
#[test_case("\"pushed\"", "\"push\"" => Err("setting endpoints.mode cannot be read: \"push\", expected \"pushed\" or \"on_request\" (settings.RegistryMode in the file)".into()); "an unknown mode")]
#[test_case("127.0.0.1:7000\",", "127.0.0.1:7000\",\"127.0.0.1:7002\"," => Err("talk.peers has 3 addresses, expected one for each of 2 dispatchers".into()); "one peer address too many")]
#[test_case("7001\", \"peers", "7009\", \"peers" => Err("talk.listen 127.0.0.1:7009 must have the port of the address at rank 1 in talk.peers".into()); "the port of another dispatcher")]
fn validation_reports_the_invalid_setting(from: &str, to: &str) -> Result<(), String> {
    config_with_peers_replacing(from, to)
        .validate()
        .map_err(|error| error.to_string())
}

#[test_case("talk" => "true"; "with addresses")]
#[test_case("other" => "false"; "without")]
fn load_reports_are_disabled_without_addresses(name: &str) -> String {
    config_with_peers_replacing("talk", name).settings["peer_load.allowed"].clone()
}

#[test_case(""; "without a quorum")]
#[test_case("keepers = [\"a\"]"; "with a quorum")]
fn a_cluster_member_uses_warm_up_grants(more: &str) {
    let text = "version = 1\ncluster = \"c\"\nname = \"a\"\nlisten = \"127.0.0.1:1\"\nseeds = []\n";
    let cluster_config =
        rosewall_cluster::config::parse("c.toml".as_ref(), &format!("{text}{more}")).unwrap();
    let mut config = config_with_peers_replacing("talk", "talkless");
    config.join_cluster(cluster_config).unwrap();
    assert_eq!(config.settings["warm_up_grants"], "true");
}
