//! Counters of a node, in the form that Prometheus reads.

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

use crate::state::control_metrics::ControlMetrics;

const LATENCY_BUCKETS_SECONDS: [f64; 14] =
    [0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0];

/// Name of a service as a label, shared rather than copied for each call.
#[derive(Clone, Debug, Hash, PartialEq, Eq)]
pub struct ServiceLabel(pub Arc<str>);

impl EncodeLabelValue for ServiceLabel {
    fn encode(&self, encoder: &mut LabelValueEncoder<'_>) -> fmt::Result {
        encoder.write_str(&self.0)
    }
}

/// Labels of a count of calls.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct CallLabels {
    /// Service called.
    pub service: ServiceLabel,
    /// Position of the priority, 0 the most urgent.
    pub priority: u32,
    /// `answered`, or the name of the error kind.
    pub outcome: &'static str,
}

/// Labels of a count by reason.
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

/// Every counter of one node.
pub struct Metrics {
    registry: Mutex<Registry>,
    /// Calls as answered by the ingress.
    pub calls: Family<CallLabels, Counter>,
    /// Latency that callers saw from this ingress.
    pub call_latency: Family<LatencyLabels, Histogram>,
    /// Decisions of the gate, by reason.
    pub gate_decisions: Family<ReasonLabels, Counter>,
    /// Attempts after the first, by reason.
    pub retries: Family<ReasonLabels, Counter>,
    /// Calls of the platform, by outcome.
    pub platform_calls: Family<ReasonLabels, Counter>,
    /// What acting together costs.
    pub control: ControlMetrics,
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
        registry.register("platform_calls", "Calls of the platform by outcome", platform_calls.clone());
        let control = ControlMetrics::default();
        control.add_to(&mut registry);
        Self {
            registry: Mutex::new(registry),
            calls,
            call_latency,
            gate_decisions,
            retries,
            platform_calls,
            control,
        }
    }
}

impl Metrics {
    /// Counts one decision or event under its reason.
    pub fn count(family: &Family<ReasonLabels, Counter>, reason: &'static str) {
        family.get_or_create(&ReasonLabels { reason }).inc();
    }

    /// All counters in the text format of Prometheus.
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

/// The counters, shared by the parts of one node.
pub type SharedMetrics = Arc<Metrics>;
