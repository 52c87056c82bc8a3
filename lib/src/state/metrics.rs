//! Metrics of a node, exported in the Prometheus text format.

use std::fmt;
use std::fmt::Write;
use std::sync::Arc;

use parking_lot::Mutex;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::EncodeLabelValue;
use prometheus_client::encoding::LabelValueEncoder;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;
use prometheus_client::registry::Unit;

use crate::state::authentication_metrics::AuthenticationMetrics;
use crate::state::control_metrics::ControlMetrics;
use crate::state::evacuation_metrics::EvacuationMetrics;
use crate::state::quota_metrics::QuotaMetrics;

/// Upper bounds of the latency histogram's buckets.
const LATENCY_BUCKETS_SECONDS: [f64; 14] =
    [0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0];

/// Service name as a label value, shared to avoid a copy for each call.
#[derive(Clone, Debug, Hash, PartialEq, Eq)]
pub struct ServiceLabel(pub Arc<str>);

impl EncodeLabelValue for ServiceLabel {
    fn encode(&self, encoder: &mut LabelValueEncoder<'_>) -> fmt::Result {
        encoder.write_str(&self.0)
    }
}

/// Labels of a call counter.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct CallLabels {
    /// Service called.
    pub service: ServiceLabel,
    /// Position of the priority, 0 the most urgent.
    pub priority: u32,
    /// `answered`, `cut_short` for an incomplete answer, or the name of the error kind.
    pub outcome: &'static str,
}

/// Label of a counter by reason.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct ReasonLabels {
    /// Name of the reason.
    pub reason: &'static str,
}

/// Labels of a latency histogram.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct LatencyLabels {
    /// Service called.
    pub service: ServiceLabel,
    /// Position of the priority, 0 the most urgent.
    pub priority: u32,
}

/// All metrics of one node.
pub struct Metrics {
    registry: Mutex<Registry>,
    /// Calls answered by the ingress, by service, priority and outcome.
    pub calls: Family<CallLabels, Counter>,
    /// Latency at the ingress of calls that received an answer, complete or not, in seconds.
    pub call_latency: Family<LatencyLabels, Histogram>,
    /// Gate decisions, by reason.
    pub gate_decisions: Family<ReasonLabels, Counter>,
    /// Attempts after the first one of a call, by reason.
    pub retries: Family<ReasonLabels, Counter>,
    /// Calls rerouted after a gate rejected them as overloaded, such as for too long a wait, by kind of error.
    pub reroutes: Family<ReasonLabels, Counter>,
    /// Hedges: second attempts that started while the first was running, by event.
    pub hedges: Family<ReasonLabels, Counter>,
    /// Hedges by outcome: which of the two attempts answered first, that a gate rejected the hedge, or that it was not
    /// sent.
    pub hedge_outcomes: Family<ReasonLabels, Counter>,
    /// Probes of the upstream's load or slowdown, by outcome.
    pub probes: Family<ReasonLabels, Counter>,
    /// Load probes that were skipped, by reason.
    pub skipped_probes: Family<ReasonLabels, Counter>,
    /// Responses without a final status, by what was requested: a call, a query of the gate, or a call of a peer.
    pub no_final_responses: Family<ReasonLabels, Counter>,
    /// Changes of what the gate knows of its upstream's cold starts, by the new state.
    pub cold_states: Family<ReasonLabels, Counter>,
    /// Calls started while the upstream was cold or might have been, counted once it is warm.
    pub cold_starts: Counter,
    /// Calls to the platform, by operation, or by kind of failure.
    pub platform_calls: Family<ReasonLabels, Counter>,
    /// Authentications of requests.
    pub authentications: AuthenticationMetrics,
    /// Control traffic between nodes.
    pub control: ControlMetrics,
    /// Quotas of tenants.
    pub quota: QuotaMetrics,
    /// Evacuated zones.
    pub evacuation: EvacuationMetrics,
}

impl fmt::Debug for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Metrics").finish_non_exhaustive()
    }
}

impl Default for Metrics {
    fn default() -> Self {
        let calls = Family::<CallLabels, Counter>::default();
        let call_latency = Family::new_with_constructor(latency_histogram as fn() -> Histogram);
        let gate_decisions = Family::<ReasonLabels, Counter>::default();
        let retries = Family::<ReasonLabels, Counter>::default();
        let reroutes = Family::<ReasonLabels, Counter>::default();
        let hedges = Family::<ReasonLabels, Counter>::default();
        let hedge_outcomes = Family::<ReasonLabels, Counter>::default();
        let probes = Family::<ReasonLabels, Counter>::default();
        let skipped_probes = Family::<ReasonLabels, Counter>::default();
        let no_final_responses = Family::<ReasonLabels, Counter>::default();
        let cold_states = Family::<ReasonLabels, Counter>::default();
        let cold_starts = Counter::default();
        let platform_calls = Family::<ReasonLabels, Counter>::default();
        let mut registry = Registry::with_prefix("yuccatray");
        registry.register("calls", "Calls answered by the ingress", calls.clone());
        registry.register_with_unit(
            "call_latency",
            "Latency that callers saw from the ingress",
            Unit::Seconds,
            call_latency.clone(),
        );
        registry.register("gate_decisions", "Decisions of the gate by reason", gate_decisions.clone());
        registry.register("retries", "Attempts after the first by reason", retries.clone());
        registry.register("spills", "Calls moved on by a gate by reason", reroutes.clone());
        registry.register("hedges", "Second copies of calls that raced the first", hedges.clone());
        registry.register("hedge_outcomes", "Races of two copies by the winner", hedge_outcomes.clone());
        registry.register("probes", "Questions to the upstream about its load", probes.clone());
        registry.register("probes_denied", "Questions not asked by reason", skipped_probes.clone());
        registry.register(
            "no_final_responses",
            "Responses without a final status by what was requested",
            no_final_responses.clone(),
        );
        registry.register(
            "cold_states",
            "Changes of the upstream's cold state by new state",
            cold_states.clone(),
        );
        registry.register(
            "cold_starts",
            "Calls started while the upstream was or may have been cold, counted when it is warm",
            cold_starts.clone(),
        );
        registry.register("platform_calls", "Calls of the platform by outcome", platform_calls.clone());
        let control = ControlMetrics::default();
        control.register_in(&mut registry);
        let authentications = AuthenticationMetrics::default();
        authentications.register_in(&mut registry);
        let quota = QuotaMetrics::default();
        quota.register_in(&mut registry);
        let evacuation = EvacuationMetrics::default();
        evacuation.register_in(&mut registry);
        Self {
            registry: Mutex::new(registry),
            calls,
            call_latency,
            gate_decisions,
            retries,
            reroutes,
            hedges,
            hedge_outcomes,
            probes,
            skipped_probes,
            no_final_responses,
            cold_states,
            cold_starts,
            platform_calls,
            authentications,
            control,
            quota,
            evacuation,
        }
    }
}

impl Metrics {
    /// Increments the counter of a reason.
    pub fn count(family: &Family<ReasonLabels, Counter>, reason: &'static str) {
        family.get_or_create(&ReasonLabels { reason }).inc();
    }

    /// Returns all metrics in the Prometheus text format, or an empty string if encoding fails.
    #[must_use]
    pub fn encode(&self) -> String {
        let mut text = String::new();
        let registry = self.registry.lock();
        if encode(&mut text, &registry).is_err() {
            text.clear();
        }
        text
    }
}

fn latency_histogram() -> Histogram {
    Histogram::new(LATENCY_BUCKETS_SECONDS)
}

/// Metrics shared by the components of one node.
pub type SharedMetrics = Arc<Metrics>;
