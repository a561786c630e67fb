//! Configuration of a dispatcher under test.
use serde_json::{Value, json};

/// Returns a configuration document with the address of the discovery service and the limit on sockets.
pub fn configuration(discovery: &str, sockets: usize) -> Value {
    let class = |name: &str, idempotency: &str| {
        json!({"Name": name, "Idempotency": idempotency, "Group": "all", "WindowNs": 5_000_000_000_u64,
               "SlaTimeNs": 900_000_000, "ExpiryNs": 1_000_000_000, "Value": 1.0, "TardyValue": 0.2})
    };
    json!({
        "name": "n0", "listen": "127.0.0.1:0", "discovery": discovery, "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
        "settings": {
            "Bounds": {"MaxPostings": 3, "Probes": false, "RetryAfter": true, "MaxRetryAfterNs": 2_000_000_000,
                       "ConnIdleNs": 30_000_000_000_u64, "ConnectTimeoutNs": 250_000_000},
            "Contract": {"ColdFrom": 0.2, "ColdNs": 1_000_000_000, "FallMultiple": 4.0, "FallNs": 1_000_000_000},
            "FamilyInfo": {"TellsStart": true, "ClassStretch": [2.0, 2.0, 2.0], "ClassKind": [-1, -1, -1]},
            "Kinds": ["m1"], "Zones": ["here"], "Me": 0, "Siblings": 1, "RegistryMode": "pushed",
            "Parties": [{"Name": "acme"}], "Report": {"Fields": [], "How": "none"},
            "Schemes": [class("thumb", "repeatable"), class("invoice", "by_key"), class("charge", "once")],
        }
    })
}
