//! Which way a fleet decides: the real one or a baseline to compare with.

use std::sync::Arc;

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use yuccatray::protocol::object::ObjectKind;

const OPEN_SLOTS: u32 = 10_000;
const OPEN_QUEUE: u32 = 100_000;

/// One way to decide, by name.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct PolicyVariant {
    /// Name in the table of results.
    pub name: Arc<str>,
    /// How an ingress chooses upstreams.
    #[serde(default)]
    pub routing: RoutingVariant,
    /// How a gate lets calls through.
    #[serde(default)]
    pub admission: AdmissionVariant,
}

/// How an ingress chooses upstreams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum RoutingVariant {
    /// As yuccatray does.
    #[default]
    Yuccatray,
    /// Any upstream, each as likely.
    Random,
    /// Each upstream in turn.
    RoundRobin,
    /// The upstream with the fewest calls of this ingress.
    LeastOutstanding,
    /// The less loaded of two by reports polled at a fixed interval.
    PolledTwoChoices,
    /// A pool of probes: least latency among the cold, else fewest in flight.
    ProbePool,
}

/// How a gate lets calls through.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum AdmissionVariant {
    /// As yuccatray does.
    #[default]
    Yuccatray,
    /// Urgent first with no minimum share.
    StrictPriority,
    /// Every call goes to the upstream's own queue at once.
    Open,
}

impl AdmissionVariant {
    /// Slots that an upstream announces.
    #[must_use]
    pub const fn announced_slots(self, slots: u32) -> u32 {
        match self {
            Self::Yuccatray | Self::StrictPriority => slots,
            Self::Open => OPEN_SLOTS,
        }
    }

    /// Changes an object so that gates decide this way.
    pub fn adjust(self, kind: ObjectKind, spec: &mut Value) {
        match (self, kind) {
            (Self::StrictPriority, ObjectKind::PrioritySet) => {
                set_in_priorities(spec, "min_share_percent", &Value::from(0));
            }
            (Self::Open, ObjectKind::PrioritySet) => {
                set_in_priorities(spec, "max_queue", &Value::from(OPEN_QUEUE));
            }
            (Self::Open, ObjectKind::UpstreamRule) => {
                spec["max_connections"] = Value::from(OPEN_SLOTS);
                spec["adaptive_limit"] = Value::from(false);
            }
            _ => {}
        }
    }
}

fn set_in_priorities(spec: &mut Value, field: &str, value: &Value) {
    let priorities = spec["priorities"].as_object_mut();
    for (_, priority) in priorities.into_iter().flatten() {
        priority[field] = value.clone();
    }
}
