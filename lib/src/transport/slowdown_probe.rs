//! Requests the present slowdown of an upstream's VM, for upstreams of an external dialect.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::state::config_table::ConfigTable;
use crate::state::metrics::Metrics;
use crate::state::metrics::SharedMetrics;
use crate::transport::gate::Gate;

/// Interval between checks whether the gate needs a new slowdown report.
const CHECK_INTERVAL: Duration = Duration::from_millis(80);

/// Background task that keeps the slowdown report of the upstream recent while its gate receives calls.
///
/// Answers to calls carry slowdown reports too, so a busy upstream is rarely probed.
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
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                () = tokio::time::sleep(CHECK_INTERVAL) => {}
            }
            if self.gate.needs_slowdown_probe(Instant::now())
                && let Some(path) = self.path()
            {
                let answered = self.gate.probe_slowdown(&path).await;
                Metrics::count(&self.metrics.probes, if answered { "answered" } else { "failed" });
            }
        }
    }

    /// Returns the path of the upstream's load endpoint, if its service configures one.
    fn path(&self) -> Option<Arc<str>> {
        let published = self.config.get(&self.gate.service()?)?;
        published.config.as_ref()?.service.measuring.load_path.clone()
    }
}
