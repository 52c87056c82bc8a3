//! Asking the upstream beside for its load, within the measuring budget.

use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::coordination::measuring_budget::MeasuringBudget;
use crate::coordination::measuring_budget::withheld_slots;
use crate::protocol::member::Member;
use crate::protocol::service_spec::MeasuringSpec;
use crate::state::config_table::ConfigTable;
use crate::state::directory::Directory;
use crate::state::metrics::Metrics;
use crate::state::metrics::SharedMetrics;
use crate::transport::gate::Gate;

const WANTED_INTERVAL: Duration = Duration::from_millis(100);

/// What an upstream's load endpoint answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub struct UpstreamReport {
    /// Calls that it is running, by its own word.
    pub running: u32,
}

/// Asks the upstream beside the node for its load.
#[derive(Debug)]
pub struct LoadProbe {
    /// The node.
    pub me: Arc<Member>,
    /// The gate beside.
    pub gate: Arc<Gate>,
    /// Members and their upstreams.
    pub directory: Arc<Directory>,
    /// Configuration in force.
    pub config: Arc<ConfigTable>,
    /// Counters.
    pub metrics: SharedMetrics,
}

/// What is asked, of how many, and at what cost.
struct Target {
    spec: MeasuringSpec,
    path: Arc<str>,
    slots: u32,
    gates: u32,
}

impl LoadProbe {
    /// Asks again and again until told to stop.
    pub async fn run(self, stop: CancellationToken) {
        let mut budget = MeasuringBudget::new(Instant::now());
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                () = tokio::time::sleep(WANTED_INTERVAL) => {}
            }
            if let Some(target) = self.target() {
                self.ask(&mut budget, &target).await;
            }
        }
    }

    fn target(&self) -> Option<Target> {
        let snapshot = self.directory.snapshot();
        let own = snapshot.by_name(&self.me.id.name)?.member.upstream.clone()?;
        let published = self.config.get(&own.service)?;
        let spec = published.config.as_ref()?.service.measuring.clone();
        let path = spec.load_path.clone()?;
        let of_service = snapshot.entries().filter(|entry| {
            entry.member.upstream.as_ref().is_some_and(|upstream| upstream.service == own.service)
        });
        let gates = u32::try_from(of_service.count()).unwrap_or(u32::MAX);
        Some(Target { spec, path, slots: own.slots, gates })
    }

    async fn ask(&self, budget: &mut MeasuringBudget, target: &Target) {
        let asked_at = Instant::now();
        budget.observe_gates(target.gates, asked_at);
        if !budget.claim(&target.spec, target.slots, asked_at) {
            Metrics::count(&self.metrics.probes_denied, "budget");
            return;
        }
        let answer = self.gate.ask_upstream(&target.path).await;
        budget.took(asked_at.elapsed());
        let good = answer.filter(|answer| answer.status().is_success());
        let report = good.and_then(|answer| serde_json::from_slice::<UpstreamReport>(answer.body()).ok());
        let Some(report) = report else {
            Metrics::count(&self.metrics.probes, "failed");
            return;
        };
        Metrics::count(&self.metrics.probes, "answered");
        let known = self.gate.load().running;
        let most = target.spec.max_load_influence_percent;
        self.gate.withhold(withheld_slots(report.running, known, target.slots, most));
    }
}
