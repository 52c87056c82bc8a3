//! Platform objects that tests create.

use serde_json::Value;
use serde_json::json;

/// Returns kind, name and value of the objects that declare one service with the priority "urgent".
///
/// The latency objective is one hour, so that no slow call exceeds it.
#[must_use]
pub fn service_objects(name: &str) -> [(&'static str, String, Value); 3] {
    let priorities = json!({ "priorities": { "urgent": { "objective_ms": 3_600_000 } } });
    let service = json!({ "priority_set": "one", "upstream_rule": "workers", "default_priority": "urgent" });
    [
        ("PrioritySet", "one".to_owned(), priorities),
        ("UpstreamRule", "workers".to_owned(), json!({ "ramp_ms": 0 })),
        ("Service", name.to_owned(), service),
    ]
}
