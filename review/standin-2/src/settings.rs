//! Settings of a small deployment, in the form of the operators' configuration.

/// A scheme: name, idempotency, group, window, SLA time and expiry in milliseconds, value.
pub struct Scheme(
    pub &'static str,
    pub &'static str,
    pub &'static str,
    pub u64,
    pub u64,
    pub u64,
    pub f64,
);

pub struct Site {
    pub zones: &'static [&'static str],
    /// `pushed` or `on_request`.
    pub registry_mode: &'static str,
    pub max_postings: u32,
    /// Dispatchers of the deployment; the case's own have the numbers from 0.
    pub siblings: u32,
    /// Grace of drains in milliseconds.
    pub grace_ms: u64,
    /// Further keys of `Contract`, each preceded by a comma.
    pub contract: &'static str,
    pub retry_after: bool,
    pub tenant: &'static str,
    pub schemes: &'static [Scheme],
}

impl Site {
    pub fn settings(&self, me: u32) -> String {
        let quoted = |names: &[&str]| {
            let names: Vec<String> = names.iter().map(|name| format!("\"{name}\"")).collect();
            names.join(",")
        };
        let schemes: Vec<String> = self.schemes.iter().map(scheme).collect();
        let count = self.schemes.len();
        let stretch = vec!["2.0"; count].join(",");
        let kinds = vec!["-1"; count].join(",");
        format!(
            "{{\"Me\":{me},\"Siblings\":{siblings},\"MyZone\":0,\"Zones\":[{zones}],\"Kinds\":[\"m1\"],\n\
             \"RegistryMode\":\"{mode}\",\"ValueBasis\":\"work\",\"Weights\":\"nominal\",\n\
             \"Bounds\":{{\"MaxPostings\":{postings},\"Probes\":false,\"Peers\":false,\"Cancel\":true,\"SecondCopies\":false,\
             \"RetryAfter\":{retry_after},\"MaxRetryAfterNs\":2000000000,\"ConnIdleNs\":30000000000,\
             \"ConnectTimeoutNs\":250000000}},\n\
             \"Contract\":{{\"ColdFrom\":0.14,\"ColdNs\":24000000000,\"FallMultiple\":4.0,\"FallNs\":2000000000,\
             \"StopSendingWithinNs\":{grace},\"AnswerSlackNs\":8000000,\"AskWithinNs\":10000000000{contract}}},\n\
             \"FamilyInfo\":{{\"TellsStart\":true,\"QueueOrder\":\"fifo\",\"ClassStretch\":[{stretch}],\"ClassKind\":[{kinds}]}},\n\
             \"Report\":{{\"Fields\":[],\"How\":\"none\"}},\"Parties\":[{{\"Name\":\"{tenant}\",\"Portion\":1.0,\"QuotaPerS\":100.0}}],\n\
             \"Schemes\":[{schemes}]}}",
            siblings = self.siblings,
            zones = quoted(self.zones),
            mode = self.registry_mode,
            postings = self.max_postings,
            retry_after = self.retry_after,
            grace = self.grace_ms * 1_000_000,
            contract = self.contract,
            tenant = self.tenant,
            schemes = schemes.join(",\n")
        )
    }
}

fn scheme(scheme: &Scheme) -> String {
    let Scheme(name, idempotency, group, window_ms, sla_ms, expiry_ms, value) = scheme;
    format!(
        "{{\"Name\":\"{name}\",\"Idempotency\":\"{idempotency}\",\"Group\":\"{group}\",\"WindowNs\":{window_ms}000000,\
         \"SlaTimeNs\":{sla_ms}000000,\"ExpiryNs\":{expiry_ms}000000,\"Value\":{value},\"TardyValue\":0.2,\"Stream\":false}}"
    )
}

/// Annonces El Manar: `kit/sites/manar-charguia.toml` and its brief.
pub const MANAR: Site = Site {
    zones: &["charguia"],
    registry_mode: "pushed",
    max_postings: 3,
    siblings: 4,
    grace_ms: 3000,
    contract: "",
    retry_after: true,
    tenant: "tunis",
    schemes: &[
        Scheme("page-rebuild", "repeatable", "all", 5000, 250, 5000, 1.0),
        Scheme("seller-message", "once", "all", 5000, 250, 5000, 8.0),
        Scheme("paid-publish", "once", "all", 5000, 1500, 20000, 10.0),
    ],
};

/// Hualien trail narration workers: `kit/more2/hualien-trails.toml` and its brief.
pub const HUALIEN: Site = Site {
    zones: &["meilun", "jian", "shoufeng"],
    registry_mode: "on_request",
    max_postings: 2,
    siblings: 2,
    grace_ms: 500,
    contract:
        ",\"ExtraFree\":1,\"ExtraRatio\":0.1,\"ResendSpanNs\":5000000000,\"MayShedBegun\":true",
    retry_after: true,
    tenant: "gorge-gate-rentals",
    schemes: &[
        Scheme("stop-play", "once", "all", 5000, 150, 5000, 3.0),
        Scheme("trail-pack", "by_key", "zone", 40000, 600, 25000, 5.0),
    ],
};

/// Quarry Hill Cycle Supply: `kit/more/qh-orders.toml` and its brief.
pub const QUARRY_HILL: Site = Site {
    zones: &["worcester", "nashua"],
    registry_mode: "on_request",
    max_postings: 4,
    siblings: 4,
    grace_ms: 2500,
    contract: "",
    retry_after: true,
    tenant: "granite-wheel",
    schemes: &[
        Scheme("quote", "repeatable", "all", 7500, 200, 5000, 5.0),
        Scheme("reserve", "once", "all", 7500, 200, 5000, 2.0),
    ],
};
