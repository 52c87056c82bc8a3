//! Routing and admission policies of an experiment: yuccatray's own, and baselines for comparison.

use std::sync::Arc;

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use yuccatray::protocol::object::ObjectKind;

/// Slots announced by an upstream that takes all calls at once; more than an experiment ever uses.
const UNLIMITED_SLOTS: u32 = 10_000;
/// Queue limit that no experiment reaches, in calls.
const UNLIMITED_QUEUE: u32 = 100_000;

/// A named combination of routing and admission policies.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct PolicyVariant {
    /// Name in the results table.
    pub name: Arc<str>,
    /// Routing policy of ingresses.
    #[serde(default)]
    pub routing: RoutingVariant,
    /// Admission policy of gates.
    #[serde(default)]
    pub admission: AdmissionVariant,
}

/// Policy by which an ingress chooses upstreams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum RoutingVariant {
    /// The routing policy of yuccatray.
    #[default]
    Yuccatray,
    /// A uniformly random upstream.
    Random,
    /// The upstreams in turn.
    RoundRobin,
    /// The upstream with the fewest calls in flight from this ingress.
    LeastOutstanding,
    /// The less loaded of two random upstreams, by load reports polled at a fixed interval.
    PolledTwoChoices,
    /// A pool of probe results: the lowest latency among lightly loaded upstreams, else the fewest in flight.
    ProbePool,
}

/// Policy by which a gate admits calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum AdmissionVariant {
    /// The admission policy of yuccatray.
    #[default]
    Yuccatray,
    /// The most urgent priority first, without minimum shares.
    StrictPriority,
    /// No admission control: every call goes to the upstream's own queue at once.
    Open,
}

impl AdmissionVariant {
    /// Returns the slots that an upstream announces, given its actual number.
    #[must_use]
    pub const fn announced_slots(self, slots: u32) -> u32 {
        match self {
            Self::Yuccatray | Self::StrictPriority => slots,
            Self::Open => UNLIMITED_SLOTS,
        }
    }

    /// Changes the value of an object so that gates follow this policy.
    pub fn adjust(self, kind: ObjectKind, spec: &mut Value) {
        match (self, kind) {
            (Self::StrictPriority, ObjectKind::PrioritySet) => {
                set_in_priorities(spec, "min_share_percent", &Value::from(0));
            }
            (Self::Open, ObjectKind::PrioritySet) => {
                set_in_priorities(spec, "max_queue", &Value::from(UNLIMITED_QUEUE));
                set_in_priorities(spec, "max_caller_queue_percent", &Value::from(100));
            }
            (Self::Open, ObjectKind::UpstreamRule) => {
                spec["max_connections"] = Value::from(UNLIMITED_SLOTS);
                spec["adaptive_limit"] = Value::from(false);
            }
            _ => {}
        }
    }
}

/// Sets a field in every priority of a set.
fn set_in_priorities(spec: &mut Value, field: &str, value: &Value) {
    let priorities = spec["priorities"].as_object_mut();
    for (_, priority) in priorities.into_iter().flatten() {
        priority[field] = value.clone();
    }
}
