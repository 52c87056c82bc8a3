//! Objects that tests declare.

use serde_json::Value;
use serde_json::json;

/// Kind, name and value of the objects that make one service with the priority "urgent".
///
/// Its objective is so long that no call misses it by being slow.
#[must_use]
pub fn one_service(name: &str) -> [(&'static str, String, Value); 3] {
    let priorities = json!({ "priorities": { "urgent": { "objective_ms": 3_600_000 } } });
    let service = json!({ "priority_set": "one", "upstream_rule": "workers", "default_priority": "urgent" });
    [
        ("PrioritySet", "one".to_owned(), priorities),
        ("UpstreamRule", "workers".to_owned(), json!({ "ramp_ms": 0 })),
        ("Service", name.to_owned(), service),
    ]
}
