//! Requests the present slowdown of an upstream's VM, for upstreams of an external dialect.

use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::protocol::service_spec::MeasuringSpec;
use crate::state::config_table::ConfigTable;
use crate::state::metrics::Metrics;
use crate::state::metrics::SharedMetrics;
use crate::transport::gate::Gate;

/// Interval between checks whether the gate needs a new slowdown report.
const CHECK_INTERVAL: Duration = Duration::from_millis(80);

/// Background task that keeps the slowdown report of the upstream recent while its gate receives calls.
///
/// Answers to calls carry slowdown reports too, so a busy upstream is rarely probed. The task also starts
/// calls that the gate held while the VM was slow, since no other event may tell that they may start.
#[derive(Debug)]
pub struct SlowdownProbe {
    /// The gate of this node.
    pub gate: Arc<Gate>,
    /// Current configuration.
    pub config: Arc<ConfigTable>,
    /// Metrics of the node.
    pub metrics: SharedMetrics,
}

impl SlowdownProbe {
    /// Probes whenever the slowdown report is too old, until `stop` is cancelled.
    pub async fn run(self, stop: CancellationToken) {
        let mut probe = JoinSet::new();
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                () = tokio::time::sleep(CHECK_INTERVAL) => {}
                () = self.gate.upstream_replaced() => {}
            }
            self.gate.start_held_calls();
            while probe.try_join_next().is_some() {}
            if !probe.is_empty() || !self.gate.needs_slowdown_probe(Instant::now()) {
                continue;
            }
            let Some(measuring) = measuring(&self.gate, &self.config) else {
                self.gate.extend_wait_for_first_answer();
                continue;
            };
            self.gate.record_probe();
            if let Some(path) = measuring.load_path {
                probe.spawn(probe_once(Arc::clone(&self.gate), Arc::clone(&self.metrics), path));
            }
        }
    }
}

/// Returns how the service of the upstream is measured, once its configuration is known.
pub(super) fn measuring(gate: &Gate, config: &ConfigTable) -> Option<MeasuringSpec> {
    let published = config.get(&gate.service()?)?;
    Some(published.config.as_ref()?.service.measuring.clone())
}

/// Probes the upstream once and counts the outcome.
async fn probe_once(gate: Arc<Gate>, metrics: SharedMetrics, path: Arc<str>) {
    let answered = gate.probe_slowdown(&path).await;
    Metrics::count(&metrics.probes, if answered { "answered" } else { "failed" });
}
