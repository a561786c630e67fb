//! Checks that the configuration of the README's quick start is valid.
use rosewall_engine::config::Config;

#[test]
fn the_example_configuration_is_valid() {
    let text = include_bytes!("../../../deploy/example.json");

    let config = Config::parse(text).expect("readable");

    config.validate().expect("usable");
    assert_eq!(config.listen.to_string(), "127.0.0.1:3000");
    assert_eq!(config.names().classes, ["thumbnail", "charge"]);
}
