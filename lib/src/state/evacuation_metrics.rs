//! Gauges of the evacuated zones, as of the latest export of the metrics.

use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// Gauges of the evacuated zones.
#[derive(Debug, Default)]
pub struct EvacuationMetrics {
    /// Number of evacuated zones.
    pub zones: Gauge,
    /// 1 while the zone of this node is evacuated, otherwise 0.
    pub own_zone: Gauge,
    /// Calls of this node's callers that still run at upstreams in evacuated zones.
    pub running_calls: Gauge,
}

impl EvacuationMetrics {
    /// Registers the gauges in a metrics registry.
    pub fn register_in(&self, registry: &mut Registry) {
        registry.register("evacuated_zones", "Zones that operators have evacuated", self.zones.clone());
        registry.register(
            "own_zone_evacuated",
            "Whether the zone of this node is evacuated",
            self.own_zone.clone(),
        );
        registry.register(
            "evacuated_running_calls",
            "Calls of the node's callers that still run in evacuated zones",
            self.running_calls.clone(),
        );
    }
}
