//! Requests health responses of an upstream that may be cold, while calls are started.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::state::config_table::ConfigTable;
use crate::state::metrics::Metrics;
use crate::state::metrics::SharedMetrics;
use crate::transport::gate::Gate;
use crate::transport::slowdown_probe::measuring;

/// Minimum time between two probes.
///
/// Together with those of `SlowdownProbe`, every 80 ms at most, they stay under 60 in a second.
const MIN_INTERVAL: Duration = Duration::from_millis(25);

/// Background task that keeps the health response recent for the cold limit of the gate.
///
/// It does nothing while the service of the upstream declares no cold rate.
#[derive(Debug)]
pub struct ColdProbe {
    /// The gate of this node.
    pub gate: Arc<Gate>,
    /// Current configuration.
    pub config: Arc<ConfigTable>,
    /// Metrics of the node.
    pub metrics: SharedMetrics,
}

impl ColdProbe {
    /// Probes whenever the cold limit needs a health response, until `stop` is cancelled.
    pub async fn run(self, stop: CancellationToken) {
        let probing = async {
            loop {
                self.gate.cold_probe_due().await;
                let next_probe_at = Instant::now() + MIN_INTERVAL;
                self.probe().await;
                tokio::time::sleep_until(next_probe_at).await;
            }
        };
        // Completes only by the stop.
        let _stopped: Option<()> = stop.run_until_cancelled(probing).await;
    }

    async fn probe(&self) {
        let path = measuring(&self.gate, &self.config).and_then(|measuring| measuring.load_path);
        let Some(path) = path else {
            return;
        };
        let answered = self.gate.probe_cold(&path).await;
        Metrics::count(&self.metrics.probes, if answered { "answered" } else { "failed" });
    }
}
