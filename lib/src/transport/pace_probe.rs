//! Asking an upstream of another dialect how fast its VM works at this moment.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::state::config_table::ConfigTable;
use crate::state::metrics::Metrics;
use crate::state::metrics::SharedMetrics;
use crate::transport::gate::Gate;

/// Time between two looks at whether the gate's word is fresh.
const LOOK_INTERVAL: Duration = Duration::from_millis(80);

/// Keeps a gate's word on the pace of its upstream fresh while calls come.
///
/// Answers tell the pace as well, so a busy upstream is hardly ever asked.
#[derive(Debug)]
pub struct PaceProbe {
    /// The gate beside.
    pub gate: Arc<Gate>,
    /// Configuration in force.
    pub config: Arc<ConfigTable>,
    /// Counters.
    pub metrics: SharedMetrics,
}

impl PaceProbe {
    /// Asks again and again until told to stop.
    pub async fn run(self, stop: CancellationToken) {
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                () = tokio::time::sleep(LOOK_INTERVAL) => {}
            }
            if self.gate.wants_pace(Instant::now())
                && let Some(path) = self.path()
            {
                let told = self.gate.ask_pace(&path).await;
                Metrics::count(&self.metrics.probes, if told { "answered" } else { "failed" });
            }
        }
    }

    fn path(&self) -> Option<Arc<str>> {
        let published = self.config.get(&self.gate.service()?)?;
        published.config.as_ref()?.service.measuring.load_path.clone()
    }
}
