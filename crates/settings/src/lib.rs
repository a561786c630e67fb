//! The mapping of the operators' setting names and values to rosewall's internal ones. No other
//! crate translates the operators' names. `docs/design.md` describes the settings.
pub use rosewall::SettingsMap;

#[cfg(test)]
mod tests;

/// Paths of single settings, each with its internal name.
const SETTINGS: &[(&str, &str)] = &[
    ("Me", "me"),
    ("Siblings", "dispatchers"),
    ("MyZone", "zone"),
    ("RegistryMode", "endpoints.mode"),
    ("BeyondShareValue", "over_quota_weight"),
    ("ValueBasis", "priority_weight.basis"),
    ("QuantumNs", "tick"),
    ("Bounds.Probes", "health_check.allowed"),
    ("Bounds.Peers", "peer_load.allowed"),
    ("Bounds.SecondCopies", "hedging.allowed"),
    ("Bounds.MaxPostings", "attempts.max"),
    ("Bounds.RetryAfter", "retry_after.allowed"),
    ("Bounds.MaxRetryAfterNs", "retry_after.max"),
    ("Contract.AskWithinNs", "endpoints.poll_within"),
    ("Contract.StopSendingWithinNs", "endpoints.drain_grace"),
    ("Contract.MayShedBegun", "at_capacity.may_have_run"),
    ("Contract.ColdFrom", "slow_start.from"),
    ("Contract.ColdNs", "slow_start.duration"),
    ("Contract.FallMultiple", "overload.multiple"),
    ("Contract.FallNs", "overload.window"),
    ("FamilyInfo.TellsStart", "start_notes"),
    ("FamilyInfo.QueueOrder", "queue.order"),
    ("Prices.CrossZone", "price.zone"),
    ("Prices.Probe", "price.health_check"),
    ("Prices.Waste", "price.waste"),
    ("ScoreParts.TailPart", "score.tail"),
    ("ScoreParts.MissAllowed", "score.miss_allowed"),
    ("Bounds.ConnectTimeoutNs", "connect.timeout"),
    ("Bounds.ConnIdleNs", "connection.idle_timeout"),
    ("Zones", "zones"),
    ("Kinds", "worker_types"),
    ("Schemes.count", "class.count"),
    ("Parties.count", "tenant.count"),
];

/// Lists whose elements have settings of their own below `LIST.INDEX`, each with its internal name.
const LISTS: &[(&str, &str)] = &[("Schemes", "class"), ("Parties", "tenant")];

/// Settings of an element of one of the [`LISTS`], each with its internal name below `class.INDEX`
/// or `tenant.INDEX`.
const ELEMENT_SETTINGS: &[(&str, &str)] = &[
    ("Name", ELEMENT_NAME),
    ("SlaTimeNs", "latency_objective"),
    ("AimStretch", "objective_stretch"),
    ("ExpiryNs", "deadline"),
    ("Idempotency", "idempotency"),
    ("Group", "retry_scope"),
    ("WindowNs", "retry_window"),
    ("Value", "priority_weight"),
    ("TardyValue", "late_weight"),
    ("QuotaPerS", "quota"),
    ("Portion", "share"),
];

/// Internal name of the setting that holds an element's name. Its value is never translated, even
/// if it is one of [`VALUE_NAMES`].
const ELEMENT_NAME: &str = "name";

/// Paths of settings with one comma-separated value for each class, each with its internal name
/// below `class.INDEX`.
const CLASS_VALUES: &[(&str, &str)] = &[
    ("FamilyInfo.ClassStretch", "objective_stretch"),
    ("FamilyInfo.ClassKind", "worker_type"),
];

/// Operators' values that have another internal value, each with that value.
const VALUE_NAMES: &[(&str, &str)] = &[
    ("repeatable", "idempotent"),
    ("by_key", "idempotent-with-key"),
    ("referenced", "idempotent-with-key"),
    ("once", "non-idempotent"),
    ("once-only", "non-idempotent"),
    ("on_request", "polled"),
    ("asked", "polled"),
    ("concurrent", "inflight"),
    ("depth", "waiting"),
    ("load_share", "busy"),
    ("err_ps", "errors"),
];

/// Path of the list of values in a load report.
const REPORT_FIELDS: &str = "Report.Fields";
/// Prefix of the paths that give the meaning of site-specific values; the rest of the path in lower
/// case is the value's name.
const REPORT_FIELD_MEANING: &str = "FamilyInfo.Report";

fn find<'a>(table: &[(&str, &'a str)], key: &str) -> Option<&'a str> {
    table
        .iter()
        .find(|(operators_name, _)| *operators_name == key)
        .map(|(_, name)| *name)
}

/// Returns the internal value for an operators' value. Values not in [`VALUE_NAMES`] are unchanged.
fn translate(value: &str) -> &str {
    find(VALUE_NAMES, value).unwrap_or(value)
}

/// Returns the settings under their internal names, given pairs of path and value. Ignores unknown
/// paths.
pub fn parse_settings<'a>(pairs: impl IntoIterator<Item = (&'a str, &'a str)>) -> SettingsMap {
    let mut map = SettingsMap::new();
    let mut report_meanings = SettingsMap::new();
    for (path, value) in pairs {
        if let Some(name) = find(SETTINGS, path) {
            map.insert(name.to_string(), translate(value).to_string());
        } else if let Some(name) = find(CLASS_VALUES, path) {
            insert_class_values(&mut map, name, value);
        } else if let Some((element, name)) = element_setting(path) {
            insert_element_setting(&mut map, element, name, value);
        } else if let Some(field) = path.strip_prefix(REPORT_FIELD_MEANING) {
            report_meanings.insert(field.to_lowercase(), value.replace('_', "-"));
        } else if path == REPORT_FIELDS {
            let fields: Vec<&str> = value.split(',').map(translate).collect();
            map.insert("report.wire_fields".into(), value.to_string());
            map.insert("report.fields".into(), fields.join(","));
        }
    }
    if let Some(fields) = map.get_mut("report.fields") {
        let meanings: Vec<&str> = fields
            .split(',')
            .map(|field| report_meanings.get(field).map_or(field, String::as_str))
            .collect();
        *fields = meanings.join(",");
    }
    map
}

/// Returns the operators' path of the setting with this internal name, for use in messages; `None`
/// if it has no path.
pub fn operators_path(name: &str) -> Option<String> {
    if name == "report.fields" {
        return Some(REPORT_FIELDS.to_string());
    }
    if let Some(path) = find_path(SETTINGS, name) {
        return Some(path.to_string());
    }
    let (element, setting) = name.rsplit_once('.')?;
    let (list, index) = element.split_once('.')?;
    let list = find_path(LISTS, list)?;
    let setting = find_path(ELEMENT_SETTINGS, setting)?;
    Some(format!("{list}.{index}.{setting}"))
}

fn find_path<'a>(table: &[(&'a str, &str)], name: &str) -> Option<&'a str> {
    table
        .iter()
        .find(|(_, internal_name)| *internal_name == name)
        .map(|(operators_name, _)| *operators_name)
}

/// Inserts one value for each class. A class's own setting takes precedence.
fn insert_class_values(map: &mut SettingsMap, name: &str, values: &str) {
    for (index, value) in values.split(',').enumerate() {
        map.entry(format!("class.{index}.{name}"))
            .or_insert_with(|| value.to_string());
    }
}

/// Splits the path of an element's setting into the element and the internal name of the setting.
fn element_setting(path: &str) -> Option<(&str, &'static str)> {
    let (element, setting) = path.rsplit_once('.')?;
    Some((element, find(ELEMENT_SETTINGS, setting)?))
}

/// Inserts a setting of an element. Ignores elements of unknown lists.
fn insert_element_setting(map: &mut SettingsMap, element: &str, name: &str, value: &str) {
    let (list, index) = element.split_once('.').unwrap_or((element, ""));
    let value = if name == ELEMENT_NAME {
        value
    } else {
        translate(value)
    };
    if let Some(list) = find(LISTS, list) {
        map.insert(format!("{list}.{index}.{name}"), value.to_string());
    }
}
