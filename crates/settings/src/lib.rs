//! The users' setting names to ours. No other file knows their names.
pub use rosewall::Map;

/// Wire path to our name, for single values.
const NAMES: &[(&str, &str)] = &[
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

/// The last part of a path below `Schemes.N` or `Parties.N`, likewise.
const PART_NAMES: &[(&str, &str)] = &[
    ("Name", "name"),
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

/// Lists with one value a class.
const BY_CLASS: &[(&str, &str)] = &[
    ("FamilyInfo.ClassStretch", "objective_stretch"),
    ("FamilyInfo.ClassKind", "worker_type"),
];

/// Words that a value may hold.
const VALUES: &[(&str, &str)] = &[
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

fn find<'a>(table: &[(&str, &'a str)], word: &str) -> Option<&'a str> {
    table
        .iter()
        .find(|(theirs, _)| *theirs == word)
        .map(|(_, ours)| *ours)
}

/// The settings as a plain map under our names; what has no name here is left out.
pub fn ours<'a>(pairs: impl IntoIterator<Item = (&'a str, &'a str)>) -> Map {
    let mut map = Map::new();
    let mut report_words = Map::new();
    for (path, value) in pairs {
        let ours = find(VALUES, value).unwrap_or(value).to_string();
        if let Some(name) = find(NAMES, path) {
            map.insert(name.to_string(), ours);
        } else if let Some(name) = find(BY_CLASS, path) {
            for (at, one) in value.split(',').enumerate() {
                map.entry(format!("class.{at}.{name}"))
                    .or_insert_with(|| one.to_string());
            }
        } else if let Some((prefix, part)) = path.rsplit_once('.')
            && let Some(name) = find(PART_NAMES, part)
        {
            let (list, at) = prefix.split_once('.').unwrap_or((prefix, ""));
            // A name may be any word, also one that has another meaning as a value.
            let ours = if name == "name" {
                value.to_string()
            } else {
                ours
            };
            match list {
                "Schemes" => map.insert(format!("class.{at}.{name}"), ours),
                "Parties" => map.insert(format!("tenant.{at}.{name}"), ours),
                _ => None,
            };
        } else if let Some(field) = path.strip_prefix("FamilyInfo.Report") {
            report_words.insert(field.to_lowercase(), value.replace('_', "-"));
        } else if path == "Report.Fields" {
            map.insert("report.wire_fields".into(), value.to_string());
            let words = value
                .split(',')
                .map(|word| find(VALUES, word).unwrap_or(word));
            map.insert("report.fields".into(), words.collect::<Vec<_>>().join(","));
        }
    }
    if let Some(fields) = map.get_mut("report.fields") {
        let words = fields
            .split(',')
            .map(|word| report_words.get(word).map_or(word, String::as_str));
        *fields = words.collect::<Vec<_>>().join(",");
    }
    map
}
