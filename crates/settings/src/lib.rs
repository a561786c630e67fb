//! The users' setting names to ours. No other file knows their names.
pub use rosewall::Map;

/// Wire path to our name, for single values.
const NAMES: &[(&str, &str)] = &[
    ("Me", "me"),
    ("Siblings", "dispatchers"),
    ("MyZone", "zone"),
    ("RegistryMode", "list.mode"),
    ("BeyondShareValue", "beyond_share"),
    ("ValueBasis", "value.by"),
    ("QuantumNs", "tick"),
    ("Bounds.Probes", "probe.allowed"),
    ("Bounds.Peers", "share.allowed"),
    ("Bounds.SecondCopies", "posting.copies"),
    ("Bounds.MaxPostings", "posting.most"),
    ("Bounds.RetryAfter", "come_back.allowed"),
    ("Bounds.MaxRetryAfterNs", "come_back.most"),
    ("Contract.AskWithinNs", "list.ask_within"),
    ("Contract.ColdFrom", "cold.from"),
    ("Contract.ColdNs", "cold.time"),
    ("Contract.FallMultiple", "fall.multiple"),
    ("Contract.FallNs", "fall.window"),
    ("FamilyInfo.TellsStart", "tells_start"),
    ("FamilyInfo.QueueOrder", "queue.order"),
    ("Prices.CrossZone", "price.zone"),
    ("Prices.Probe", "price.probe"),
    ("Prices.Waste", "price.waste"),
    ("ScoreParts.TailPart", "score.tail"),
    ("ScoreParts.MissAllowed", "score.miss_allowed"),
    ("Bounds.ConnectTimeoutNs", "connection.within"),
    ("Bounds.ConnIdleNs", "connection.idle"),
    ("Zones", "zones"),
    ("Kinds", "kinds"),
    ("Schemes.count", "scheme.count"),
    ("Parties.count", "party.count"),
];

/// The last part of a path below `Schemes.N` or `Parties.N`, likewise.
const PART_NAMES: &[(&str, &str)] = &[
    ("Name", "name"),
    ("SlaTimeNs", "sla"),
    ("AimStretch", "stretch"),
    ("ExpiryNs", "expiry"),
    ("Idempotency", "effect"),
    ("Group", "group"),
    ("WindowNs", "window"),
    ("Value", "value"),
    ("TardyValue", "late_value"),
    ("QuotaPerS", "quota"),
    ("Portion", "share"),
];

/// Lists with one value a scheme.
const BY_SCHEME: &[(&str, &str)] =
    &[("FamilyInfo.ClassStretch", "stretch"), ("FamilyInfo.ClassKind", "kind")];

/// Words that a value may hold.
const VALUES: &[(&str, &str)] = &[
    ("by_key", "referenced"),
    ("once", "once-only"),
    ("on_request", "asked"),
    ("concurrent", "inflight"),
    ("depth", "waiting"),
    ("load_share", "busy"),
    ("err_ps", "errors"),
];

fn find<'a>(table: &[(&str, &'a str)], word: &str) -> Option<&'a str> {
    table.iter().find(|(theirs, _)| *theirs == word).map(|(_, ours)| *ours)
}

/// The settings as a plain map under our names; what has no name here is left out.
pub fn ours<'a>(pairs: impl IntoIterator<Item = (&'a str, &'a str)>) -> Map {
    let mut map = Map::new();
    let mut report_words = Map::new();
    for (path, value) in pairs {
        let ours = find(VALUES, value).unwrap_or(value).to_string();
        if let Some(name) = find(NAMES, path) {
            map.insert(name.to_string(), ours);
        } else if let Some(name) = find(BY_SCHEME, path) {
            for (at, one) in value.split(',').enumerate() {
                map.entry(format!("scheme.{at}.{name}")).or_insert_with(|| one.to_string());
            }
        } else if let Some((prefix, part)) = path.rsplit_once('.')
            && let Some(name) = find(PART_NAMES, part)
        {
            let (list, at) = prefix.split_once('.').unwrap_or((prefix, ""));
            // A name may be any word, also one that has another meaning as a value.
            let ours = if name == "name" { value.to_string() } else { ours };
            match list {
                "Schemes" => map.insert(format!("scheme.{at}.{name}"), ours),
                "Parties" => map.insert(format!("party.{at}.{name}"), ours),
                _ => None,
            };
        } else if let Some(field) = path.strip_prefix("FamilyInfo.Report") {
            report_words.insert(field.to_lowercase(), value.replace('_', "-"));
        } else if path == "Report.Fields" {
            map.insert("report.theirs".into(), value.to_string());
            let words = value.split(',').map(|word| find(VALUES, word).unwrap_or(word));
            map.insert("report.fields".into(), words.collect::<Vec<_>>().join(","));
        }
    }
    if let Some(fields) = map.get_mut("report.fields") {
        let words = fields.split(',').map(|word| report_words.get(word).map_or(word, String::as_str));
        *fields = words.collect::<Vec<_>>().join(",");
    }
    map
}
