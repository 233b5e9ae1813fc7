use serde_json::{Value, json};

/// Key of the organisation `zarqa`.
pub const KEY: &str = "key-of-zarqa";
/// Another key of the same organisation.
pub const OTHER_KEY: &str = "second-key-of-zarqa";

/// Returns a document of a version, with a route of each kind to the service `app`.
pub fn document(version: u64) -> Value {
    let route = |prefix: &str, kind: &str, is_resumable: bool| {
        json!({
            "name": format!("r{prefix}"), "host": "app.example", "path_prefix": prefix, "kind": kind,
            "timeout_ms": 4000, "slo_ms": 1000, "priority": 1, "service": "app", "max_attempts": 2,
            "public": false, "affinity": false, "resumable": is_resumable, "gap_target_ms": 250,
        })
    };
    json!({
        "version": version,
        "routes": [
            route("/once/", "non_idempotent", false),
            route("/look/", "idempotent", false),
            route("/stream/", "streaming", false),
            route("/draft/", "streaming", true),
        ],
        "services": [{"name": "app", "health_path": "/health", "max_conns": 100, "tls": false}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 65536, "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000, "tokens_per_s": 1000},
        "tenants": [{"name": "zarqa", "api_keys": [KEY, OTHER_KEY], "priority": 1}],
        "unknown": true,
    })
}
