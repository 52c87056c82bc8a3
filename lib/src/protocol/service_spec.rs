//! What operators declare: services, priorities and the rules for upstreams.

use std::sync::Arc;

use indexmap::IndexMap;
use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// A balanced service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// Name of the `PrioritySet` that calls of this service choose from.
    pub priority_set: Arc<str>,
    /// Name of the `UpstreamRule` that its upstreams follow.
    pub upstream_rule: Arc<str>,
    /// Priority of a call that names none.
    pub default_priority: Arc<str>,
    /// Time that a call has when it names none, in milliseconds.
    #[serde(default = "default_timeout_ms")]
    #[schemars(range(min = 1, max = 3_600_000))]
    pub default_timeout_ms: u64,
    /// Methods whose calls may run more than once when the call does not say.
    #[serde(default = "default_idempotent_methods")]
    pub idempotent_methods: Vec<Arc<str>>,
    /// Largest request body, in bytes.
    #[serde(default = "default_max_body_bytes")]
    pub max_body_bytes: u64,
    /// When a call may be sent again.
    #[serde(default)]
    pub retry: RetrySpec,
    /// When a second copy of a call may race the first.
    #[serde(default)]
    pub hedge: HedgeSpec,
    /// What measuring the upstreams may cost.
    #[serde(default)]
    pub measuring: MeasuringSpec,
}

/// A set of priorities, the most urgent first.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct PrioritySetSpec {
    /// The priorities by name, the most urgent first.
    pub priorities: IndexMap<Arc<str>, PrioritySpec>,
}

/// One priority.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct PrioritySpec {
    /// Latency objective, in milliseconds.
    #[schemars(range(min = 1, max = 3_600_000))]
    pub objective_ms: u64,
    /// Share of calls that have to meet the objective, in percent.
    #[serde(default = "default_target_percent")]
    #[schemars(range(min = 0.0, max = 100.0))]
    pub target_percent: f64,
    /// Worth of one call against one of the other priorities.
    #[serde(default = "default_weight")]
    #[schemars(range(min = 1, max = 1_000_000))]
    pub weight: u32,
    /// Share of each upstream that the priority keeps in any overload, in percent.
    #[serde(default)]
    #[schemars(range(min = 0, max = 100))]
    pub min_share_percent: u32,
    /// Calls of the priority that may wait at one gate.
    #[serde(default = "default_max_queue")]
    #[schemars(range(min = 0, max = 100_000))]
    pub max_queue: u32,
    /// Share of those waiting places that one caller may take, in percent.
    #[serde(default = "default_max_caller_queue_percent")]
    #[schemars(range(min = 1, max = 100))]
    pub max_caller_queue_percent: u32,
    /// Whether calls that miss their objective are still served, after those that don't.
    #[serde(default)]
    pub serve_late: bool,
    /// Share of an upstream's slots that its calls may fill, in percent; some slow down when nearly full.
    #[serde(default = "default_usable_slots_percent")]
    #[schemars(range(min = 1, max = 100))]
    pub usable_slots_percent: u32,
}

/// When a call may be sent again.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct RetrySpec {
    /// Attempts of one call, the first included.
    #[schemars(range(min = 1, max = 10))]
    pub max_attempts: u32,
    /// Retries per hundred calls of the service.
    #[schemars(range(min = 0, max = 100))]
    pub budget_percent: u32,
    /// Retries that one node may save up for a bad moment.
    #[schemars(range(min = 1, max = 1_000))]
    pub max_saved: u32,
}

/// When a second copy of an idempotent call may race the first.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct HedgeSpec {
    /// Whether calls are hedged at all.
    pub enabled: bool,
    /// Quantile of recent service times after which the copy starts, in percent.
    #[schemars(range(min = 50.0, max = 99.99))]
    pub after_percentile: f64,
    /// Copies per hundred calls of the service.
    #[schemars(range(min = 0, max = 100))]
    pub budget_percent: u32,
}

/// What measuring the upstreams of a service may cost.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct MeasuringSpec {
    /// Probes and load calls per second, for all upstreams together.
    #[schemars(range(min = 0.0, max = 10_000.0))]
    pub probes_per_second: f64,
    /// Share of upstream time that measuring may take, in percent.
    #[schemars(range(min = 0.0, max = 100.0))]
    pub upstream_time_percent: f64,
    /// Path at which upstreams tell their load as `{"running": 3}`; not asked when absent.
    #[schemars(length(min = 1, max = 1_024))]
    pub load_path: Option<Arc<str>>,
    /// Share of an upstream's slots that its own word on its load may withhold, in percent.
    #[schemars(range(min = 0, max = 100))]
    pub max_load_influence_percent: u32,
}

/// How upstreams join, leave and stop.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct UpstreamRuleSpec {
    /// Time over which a new upstream's share grows to the full one, in milliseconds.
    #[schemars(range(min = 0, max = 3_600_000))]
    pub ramp_ms: u64,
    /// Time without renewal after which an announcement lapses, in milliseconds.
    #[schemars(range(min = 100, max = 3_600_000))]
    pub announce_ttl_ms: u64,
    /// Time that calls in flight get when an upstream leaves, in milliseconds.
    #[schemars(range(min = 0, max = 3_600_000))]
    pub drain_timeout_ms: u64,
    /// Connections that a node may open to its upstream.
    #[schemars(range(min = 1, max = 100_000))]
    pub max_connections: u32,
    /// Share of a service's upstreams that may be ejected at once, in percent.
    #[schemars(range(min = 0, max = 100))]
    pub max_ejected_percent: u32,
    /// Whether a gate lets fewer calls run at once while latency grows with their number.
    pub adaptive_limit: bool,
}

impl Default for RetrySpec {
    fn default() -> Self {
        Self { max_attempts: 3, budget_percent: 10, max_saved: 10 }
    }
}

impl Default for HedgeSpec {
    fn default() -> Self {
        Self { enabled: false, after_percentile: 95.0, budget_percent: 5 }
    }
}

impl Default for MeasuringSpec {
    fn default() -> Self {
        Self {
            probes_per_second: 3.0,
            upstream_time_percent: 0.5,
            load_path: None,
            max_load_influence_percent: 20,
        }
    }
}

impl Default for UpstreamRuleSpec {
    fn default() -> Self {
        Self {
            ramp_ms: 2_000,
            announce_ttl_ms: 3_000,
            drain_timeout_ms: 30_000,
            max_connections: 200,
            max_ejected_percent: 34,
            adaptive_limit: true,
        }
    }
}

const fn default_timeout_ms() -> u64 {
    10_000
}

fn default_idempotent_methods() -> Vec<Arc<str>> {
    ["GET", "HEAD", "OPTIONS"].into_iter().map(Arc::from).collect()
}

const fn default_max_body_bytes() -> u64 {
    16 * 1024 * 1024
}

const fn default_target_percent() -> f64 {
    99.0
}

const fn default_weight() -> u32 {
    1
}

const fn default_max_queue() -> u32 {
    100
}

const fn default_usable_slots_percent() -> u32 {
    100
}

const fn default_max_caller_queue_percent() -> u32 {
    50
}
