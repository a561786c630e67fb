//! The settings map and the typed settings of the decisions.
use std::collections::BTreeMap;
use std::str::FromStr;

/// Settings under our names; the decisions and the programs pick from it what they need.
pub type Map = BTreeMap<String, String>;

/// Reads one setting.
pub fn pick<T: FromStr>(map: &Map, name: &str) -> Result<T, String> {
    let value = map
        .get(name)
        .ok_or_else(|| format!("setting {name} is missing"))?;
    value
        .parse()
        .map_err(|_| format!("setting {name} cannot be read: {value:?}"))
}

/// Reads one setting that may be left out.
pub(crate) fn pick_or<T: FromStr>(map: &Map, name: &str, other: T) -> Result<T, String> {
    if map.contains_key(name) {
        pick(map, name)
    } else {
        Ok(other)
    }
}

/// The settings without which nothing can be decided; a missing one ends the start.
pub(crate) const FIGURES: &str = "me retry_after.allowed retry_after.max start_notes \
    slow_start.from slow_start.duration overload.multiple overload.window";
