//! Applies evacuations to a node: closes its gate while its zone is evacuated, and resets the slowness of upstreams
//! when the evacuation of their zone ends.

use std::sync::Arc;
use std::time::Duration;

use tokio_util::sync::CancellationToken;

use crate::coordination::evacuation::GateChange;
use crate::coordination::evacuation::gate_change;
use crate::log_event;
use crate::protocol::evacuation::EvacuationSet;
use crate::state::config_table::ConfigTable;
use crate::state::directory::Directory;
use crate::transport::gate::Gate;

/// Interval between checks whether calls still run at the upstream of an evacuated zone.
const RUNNING_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Applies the evacuations in force to one node.
#[derive(Debug)]
pub struct ZoneEvacuator {
    /// Zone of the node.
    pub zone: Arc<str>,
    /// The gate of the node.
    pub gate: Arc<Gate>,
    /// Evacuations in force.
    pub config: Arc<ConfigTable>,
    /// Members with this node's statistics of their upstreams.
    pub directory: Arc<Directory>,
}

impl ZoneEvacuator {
    /// Applies each change until `stop` is cancelled.
    pub async fn run(self, stop: CancellationToken) {
        let apply_changes = async {
            let mut changed = self.config.evacuations_changed();
            let mut previous = Arc::default();
            loop {
                let revision = *changed.borrow_and_update();
                let evacuations = self.config.evacuations().unwrap_or_default();
                if revision > 0 {
                    log_zones(&evacuations, revision);
                }
                self.apply(&evacuations);
                self.reset_slowness(&previous, &evacuations);
                previous = evacuations;
                tokio::select! {
                    result = changed.changed() => if result.is_err() {
                        return;
                    },
                    () = self.log_when_idle() => {}
                }
            }
        };
        tokio::select! {
            () = stop.cancelled() => {}
            () = apply_changes => {}
        }
    }

    /// Closes or reopens the gate if the state of its zone has changed.
    fn apply(&self, evacuations: &EvacuationSet) {
        let is_evacuated = evacuations.contains(&self.zone);
        match gate_change(self.gate.is_zone_evacuated(), is_evacuated) {
            Some(GateChange::Close) => {
                let rejected = self.gate.close_for_evacuation();
                let running = self.gate.load().running;
                log_event!(
                    Info,
                    "gate closed, since its zone is evacuated",
                    zone = &self.zone,
                    running = running,
                    rejected = rejected,
                );
            }
            Some(GateChange::Reopen) => {
                self.gate.reopen_after_evacuation();
                log_event!(Info, "gate reopened after the evacuation of its zone", zone = &self.zone);
            }
            None => {}
        }
    }

    /// Forgets how slow the upstreams of the zones were whose evacuation has ended.
    fn reset_slowness(&self, previous: &EvacuationSet, evacuations: &EvacuationSet) {
        let has_ended = |zone: &str| previous.contains(zone) && !evacuations.contains(zone);
        for entry in self.directory.snapshot().entries() {
            if has_ended(&entry.member.zone) {
                entry.stats.reset_slowness();
            }
        }
    }

    /// Logs when the last call at the upstream of an evacuated zone has ended; never returns.
    async fn log_when_idle(&self) {
        if self.gate.is_zone_evacuated() {
            while self.gate.load().running > 0 {
                tokio::time::sleep(RUNNING_CHECK_INTERVAL).await;
            }
            log_event!(Info, "no call runs at the upstream of the evacuated zone", zone = &self.zone);
        }
        std::future::pending::<()>().await;
    }
}

/// Logs the set of evacuated zones after a change.
fn log_zones(evacuations: &EvacuationSet, revision: u64) {
    let zones: Vec<&str> = evacuations.zones.iter().map(|evacuation| evacuation.zone.as_ref()).collect();
    log_event!(Info, "evacuated zones changed", zones = zones.join(","), revision = revision);
}
