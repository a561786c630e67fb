//! Tests of the configuration file's text.
use super::Config;
use super::runtime_settings::shutdown_timeout;
use rosewall_settings::parse_settings;
use test_case::test_case;

const CONFIG: &str = r#"{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"ff","limits":{"memory_mb":192,"sockets":64},
    "settings":{"Me":2,"Bounds":{"Probes":true},"Zones":["a b","c"],"Kinds":[],"Parties":[{"Name":"once"}],
    "FamilyInfo":{"ClassStretch":[2.0,1.5]},"Schemes":[{"Name":"thumb","Idempotency":"once"},{"Name":"x,y"}]}}"#;

#[test_case("me", "2"; "a number")]
#[test_case("health_check.allowed", "true"; "a nested value")]
#[test_case("zones", "a_b,c"; "a list of words")]
#[test_case("class.count", "2"; "a count")]
#[test_case("class.0.idempotency", "non-idempotent"; "a word of theirs")]
#[test_case("class.1.objective_stretch", "1.5"; "a value for each class")]
#[test_case("tenant.0.name", "once"; "a name that is a word elsewhere")]
fn settings_become_a_plain_map(name: &str, value: &str) {
    let config = Config::parse(CONFIG.as_bytes()).unwrap();
    assert_eq!(config.settings.get(name).map(String::as_str), Some(value));
}

#[test]
fn names_are_found_in_their_order() {
    let names = Config::parse(CONFIG.as_bytes()).unwrap().names();
    assert_eq!(
        (names.classes, names.tenants),
        (vec!["thumb".into(), "x_y".into()], vec!["once".to_string()])
    );
    assert_eq!(names.zones, ["a_b", "c"]);
}

#[test_case("seed\":\"ff", "seed\":\"never"; "a seed that is no number")]
#[test_case("127.0.0.1:0", "here"; "an address without sense")]
#[test_case("\"limits\"", "\"other\""; "no limits")]
fn an_unusable_configuration_is_told(from: &str, to: &str) {
    assert!(Config::parse(CONFIG.replace(from, to).as_bytes()).is_err());
}

/// The kill comes the longest deadline, 3 s at most, and 0.7 s after the signal, and not sooner.
#[test_case(&["1000000000"] => 1_400_000_000; "short deadlines")]
#[test_case(&["1000000000", "2000000000"] => 2_400_000_000; "the longest counts")]
#[test_case(&["20000000000"] => 3_400_000_000; "long ones")]
fn a_stop_answers_before_the_kill(deadlines: &[&str]) -> u64 {
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

const CONFIG_WITH_PEERS: &str = r#"{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"ff","limits":{"memory_mb":192,"sockets":64},
    "talk":{"listen":"127.0.0.1:7001","peers":["127.0.0.1:7000","127.0.0.1:7001"]},
    "settings":{"Me":1,"Siblings":2,"Bounds":{"Peers":true,"MaxPostings":3,"RetryAfter":true,"MaxRetryAfterNs":1},
    "Contract":{"ColdFrom":0.2,"ColdNs":1,"FallMultiple":3.0,"FallNs":1},"FamilyInfo":{"TellsStart":true},
    "RegistryMode":"pushed","Report":{"Fields":[]},"Schemes":[{"Name":"x","Idempotency":"once","Group":"all",
    "WindowNs":1,"SlaTimeNs":1,"ExpiryNs":1,"Value":1.0}]}}"#;

#[test_case("", "" => Ok(()); "as it should be")]
#[test_case("\"Me\":1", "\"Me\":2" => Err("setting me is out of range: 2 of 2 dispatchers".into()); "a number that is not there")]
#[test_case("\"Peers\":true", "\"Peers\":\"often\"" => Err("setting peer_load.allowed cannot be read: \"often\"".into()); "a wrong form")]
#[test_case("\"ColdFrom\":0.2", "\"ColdFrom\":-1" => Err("setting slow_start.from is out of range: -1".into()); "below nothing")]
#[test_case("\"ColdFrom\":0.2,", "" => Err("setting slow_start.from is missing".into()); "left out")]
#[test_case("\"ExpiryNs\":1,", "" => Err("setting class.0.deadline is missing".into()); "no deadline, by which a stop goes")]
#[test_case("\"pushed\"", "\"push\"" => Err("setting endpoints.mode cannot be read: \"push\", expected \"pushed\" or \"polled\"".into()); "a mode that is not known")]
#[test_case("127.0.0.1:7000\",", "127.0.0.1:7000\",\"127.0.0.1:7002\"," => Err("talk.peers has 3 addresses for 2 dispatchers".into()); "a peer too many")]
#[test_case("7001\",\"peers", "7009\",\"peers" => Err("talk.listen 127.0.0.1:7009 is not the address of number 1 in talk.peers".into()); "another's address")]
fn a_configuration_is_checked(from: &str, to: &str) -> Result<(), String> {
    Config::parse(CONFIG_WITH_PEERS.replacen(from, to, 1).as_bytes())
        .unwrap()
        .validate()
        .map_err(|error| error.to_string())
}

/// Guards against messages that nothing carries.
#[test_case("talk" => "true"; "with addresses")]
#[test_case("other" => "false"; "without")]
fn talk_is_off_without_addresses(name: &str) -> String {
    Config::parse(CONFIG_WITH_PEERS.replacen("talk", name, 1).as_bytes())
        .unwrap()
        .settings["peer_load.allowed"]
        .clone()
}

/// Guards against turns that count who runs, by which one that is cut off takes itself for the only one.
#[test_case(""; "no keeper gives any")]
#[test_case("keepers = [\"a\"]"; "a keeper")]
fn whoever_joins_others_sends_to_cold_workers_by_rights(more: &str) {
    let text = "version = 1\ncluster = \"c\"\nname = \"a\"\nlisten = \"127.0.0.1:1\"\nseeds = []\n";
    let cluster_config =
        rosewall_cluster::config::parse("c.toml".as_ref(), &format!("{text}{more}")).unwrap();
    let mut config =
        Config::parse(CONFIG_WITH_PEERS.replacen("talk", "talkless", 1).as_bytes()).unwrap();
    config.join_cluster(cluster_config).unwrap();
    assert_eq!(config.settings["warm_up_grants"], "true");
}
