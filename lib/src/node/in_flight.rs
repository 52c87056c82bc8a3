//! Counts of the calls in flight at a node.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::state::directory::Directory;
use crate::transport::gate::Gate;

/// Interval at which a stopping node checks whether its gate is idle.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Numbers of calls in flight at a node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct InFlightCounts {
    /// Calls that the node's callers wait for.
    pub of_callers: u32,
    /// Calls that the node's upstream is executing.
    pub running: u32,
    /// Calls queued at the node's gate.
    pub queued: u32,
}

/// Counter of the calls in flight at a node, usable while the node stops.
#[derive(Clone, Debug)]
pub struct InFlightCounter {
    pub(super) gate: Arc<Gate>,
    pub(super) directory: Arc<Directory>,
}

impl InFlightCounter {
    /// Returns the numbers of calls in flight now.
    #[must_use]
    pub fn in_flight(&self) -> InFlightCounts {
        let load = self.gate.load();
        let now = Instant::now();
        let snapshot = self.directory.snapshot();
        let of_callers = snapshot.entries().map(|entry| entry.stats.load(now).in_flight).sum();
        InFlightCounts { of_callers, running: load.running, queued: load.queued }
    }

    /// Waits until the node's upstream has finished every call.
    pub(super) async fn wait_gate_idle(&self) {
        while self.gate.load().running > 0 {
            tokio::time::sleep(IDLE_POLL_INTERVAL).await;
        }
    }
}
