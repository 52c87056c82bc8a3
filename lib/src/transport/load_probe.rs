//! Periodically requests the load of the node's own upstream, within the load probe budget.

use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::coordination::load_probe_budget::LoadProbeBudget;
use crate::coordination::load_probe_budget::reserved_slots;
use crate::protocol::member::Member;
use crate::protocol::service_spec::MeasuringSpec;
use crate::state::config_table::ConfigTable;
use crate::state::directory::Directory;
use crate::state::metrics::Metrics;
use crate::state::metrics::SharedMetrics;
use crate::transport::gate::Gate;

/// Interval at which the probe checks whether the load probe budget allows a request.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Body of the answer of an upstream's load endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub struct LoadResponse {
    /// Number of calls that the upstream reports as running.
    pub running: u32,
}

/// Background task that probes the load of the node's own upstream.
///
/// Slots used by work that the gate did not send are reserved at the gate.
#[derive(Debug)]
pub struct LoadProbe {
    /// The member entry of this node.
    pub local_member: Arc<Member>,
    /// The gate of this node.
    pub gate: Arc<Gate>,
    /// Members and their upstreams.
    pub directory: Arc<Directory>,
    /// Current configuration.
    pub config: Arc<ConfigTable>,
    /// Metrics of the node.
    pub metrics: SharedMetrics,
}

/// Endpoint of the probe and the parameters of its budget.
struct ProbeTarget {
    spec: MeasuringSpec,
    path: Arc<str>,
    /// Slots of the upstream.
    slots: u32,
    /// Gates of the service, which share the budget.
    gates: u32,
}

impl LoadProbe {
    /// Probes periodically until `stop` is cancelled.
    pub async fn run(self, stop: CancellationToken) {
        let mut budget = LoadProbeBudget::new(Instant::now());
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                () = tokio::time::sleep(CHECK_INTERVAL) => {}
            }
            if let Some(target) = self.target() {
                self.probe(&mut budget, &target).await;
            }
        }
    }

    fn target(&self) -> Option<ProbeTarget> {
        let snapshot = self.directory.snapshot();
        let own_upstream = snapshot.by_name(&self.local_member.id.name)?.member.upstream.clone()?;
        let published = self.config.get(&own_upstream.service)?;
        let spec = published.config.as_ref()?.service.measuring.clone();
        let path = spec.load_path.clone()?;
        let service_members = snapshot.entries().filter(|entry| {
            entry.member.upstream.as_ref().is_some_and(|upstream| upstream.service == own_upstream.service)
        });
        let gates = u32::try_from(service_members.count()).unwrap_or(u32::MAX);
        Some(ProbeTarget { spec, path, slots: own_upstream.slots, gates })
    }

    async fn probe(&self, budget: &mut LoadProbeBudget, target: &ProbeTarget) {
        let started_at = Instant::now();
        budget.record_gate_count(target.gates, started_at);
        if !budget.try_acquire(&target.spec, target.slots, started_at) {
            Metrics::count(&self.metrics.skipped_probes, "budget");
            return;
        }
        let answer = self.gate.query_upstream(&target.path).await;
        budget.record_probe_duration(started_at.elapsed());
        let successful = answer.filter(|answer| answer.status().is_success());
        let report = successful.and_then(|answer| serde_json::from_slice::<LoadResponse>(answer.body()).ok());
        let Some(report) = report else {
            Metrics::count(&self.metrics.probes, "failed");
            return;
        };
        Metrics::count(&self.metrics.probes, "answered");
        let known_running = self.gate.load().running;
        let max_percent = target.spec.max_load_influence_percent;
        self.gate.reserve_slots(reserved_slots(report.running, known_running, target.slots, max_percent));
    }
}
