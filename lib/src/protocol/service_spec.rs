//! Contents of the objects that operators write: services, priority sets and upstream rules.

use std::sync::Arc;

use indexmap::IndexMap;
use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// Load-balanced service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// Name of the `PrioritySet` that calls of this service choose from.
    pub priority_set: Arc<str>,
    /// Name of the `UpstreamRule` that applies to the upstreams of this service.
    pub upstream_rule: Arc<str>,
    /// Priority of a call that names none.
    pub default_priority: Arc<str>,
    /// Timeout of a call that names none, in milliseconds.
    #[serde(default = "default_timeout_ms")]
    #[schemars(range(min = 1, max = 3_600_000))]
    pub default_timeout_ms: u64,
    /// Methods whose calls may be executed more than once, unless the call specifies it.
    #[serde(default = "default_idempotent_methods")]
    pub idempotent_methods: Vec<Arc<str>>,
    /// Maximum size of a request body, in bytes.
    #[serde(default = "default_max_body_bytes")]
    pub max_body_bytes: u64,
    /// Retries of calls.
    #[serde(default)]
    pub retry: RetrySpec,
    /// Hedged requests.
    #[serde(default)]
    pub hedge: HedgeSpec,
    /// Limits on the cost of measuring the upstreams.
    #[serde(default)]
    pub measuring: MeasuringSpec,
}

/// Set of priorities, in order of urgency.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct PrioritySetSpec {
    /// Priorities by name, most urgent first.
    pub priorities: IndexMap<Arc<str>, PrioritySpec>,
}

/// Objective, weight and limits of one priority.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct PrioritySpec {
    /// Latency objective, in milliseconds.
    #[schemars(range(min = 1, max = 3_600_000))]
    pub objective_ms: u64,
    /// Share of calls that have to meet the latency objective, in percent.
    #[serde(default = "default_target_percent")]
    #[schemars(range(min = 0.0, max = 100.0))]
    pub target_percent: f64,
    /// Weight of one call relative to a call of another priority.
    #[serde(default = "default_weight")]
    #[schemars(range(min = 1, max = 1_000_000))]
    pub weight: u32,
    /// Minimum share of each upstream that the priority keeps under overload, in percent.
    #[serde(default)]
    #[schemars(range(min = 0, max = 100))]
    pub min_share_percent: u32,
    /// Maximum number of calls of the priority in the queue of one gate.
    #[serde(default = "default_max_queue")]
    #[schemars(range(min = 0, max = 100_000))]
    pub max_queue: u32,
    /// Maximum share of that queue that one caller may occupy, in percent.
    #[serde(default = "default_max_caller_queue_percent")]
    #[schemars(range(min = 1, max = 100))]
    pub max_caller_queue_percent: u32,
    /// Whether calls that will miss their objective are still served, after those that can meet it.
    #[serde(default)]
    pub serve_late: bool,
    /// Maximum share of an upstream's slots that calls of the priority may fill, in percent; a value below
    /// 100 suits upstreams that slow down near capacity.
    #[serde(default = "default_usable_slots_percent")]
    #[schemars(range(min = 1, max = 100))]
    pub usable_slots_percent: u32,
}

/// Conditions under which a call is sent again.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct RetrySpec {
    /// Maximum number of attempts for one call, including the first.
    #[schemars(range(min = 1, max = 10))]
    pub max_attempts: u32,
    /// Maximum number of retries per hundred calls of the service.
    #[schemars(range(min = 0, max = 100))]
    pub budget_percent: u32,
    /// Maximum number of unused retries that one node may accumulate for later bursts of failures.
    #[schemars(range(min = 1, max = 1_000))]
    pub max_saved: u32,
}

/// Conditions under which a hedged request is sent for an idempotent call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct HedgeSpec {
    /// Whether hedged requests are sent at all.
    pub enabled: bool,
    /// Percentile of recent service times after which the hedged request is sent, in percent.
    #[schemars(range(min = 50.0, max = 99.99))]
    pub after_percentile: f64,
    /// Maximum number of hedged requests per hundred calls of the service.
    #[schemars(range(min = 0, max = 100))]
    pub budget_percent: u32,
}

/// Limits on the cost of measuring the upstreams of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct MeasuringSpec {
    /// Maximum number of probes and load requests per second, for all upstreams together.
    #[schemars(range(min = 0.0, max = 10_000.0))]
    pub probes_per_second: f64,
    /// Maximum share of the upstreams' time that measurements may use, in percent.
    #[schemars(range(min = 0.0, max = 100.0))]
    pub upstream_time_percent: f64,
    /// Path at which upstreams report their load as `{"running": 3}`; no load requests are sent when absent.
    #[schemars(length(min = 1, max = 1_024))]
    pub load_path: Option<Arc<str>>,
    /// Maximum share of an upstream's slots that its load report may reserve for other work, in percent.
    #[schemars(range(min = 0, max = 100))]
    pub max_load_influence_percent: u32,
}

/// Rule for how the upstreams of a service join, drain and are ejected.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct UpstreamRuleSpec {
    /// Slow-start time, over which a new upstream's share of calls grows to the full one, in milliseconds.
    #[schemars(range(min = 0, max = 3_600_000))]
    pub ramp_ms: u64,
    /// Time after which an announcement expires unless it is renewed, in milliseconds.
    #[schemars(range(min = 100, max = 3_600_000))]
    pub announce_ttl_ms: u64,
    /// Maximum time for calls in flight to finish when an upstream leaves, in milliseconds.
    #[schemars(range(min = 0, max = 3_600_000))]
    pub drain_timeout_ms: u64,
    /// Maximum number of connections from a node to its upstream.
    #[schemars(range(min = 1, max = 100_000))]
    pub max_connections: u32,
    /// Maximum share of a service's upstreams that may be ejected at the same time, in percent.
    #[schemars(range(min = 0, max = 100))]
    pub max_ejected_percent: u32,
    /// Whether a gate lowers its concurrency limit while latency grows with the number of running calls.
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
