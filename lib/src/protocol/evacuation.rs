//! Zones that operators have evacuated: no call may be sent to their upstreams.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

/// Name under which the evacuated zones are published, next to the names of services.
pub const EVACUATIONS_NAME: &str = "zone-evacuations";

/// Evacuation of one zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneEvacuation {
    /// Name of the zone.
    pub zone: Arc<str>,
    /// Identity of the operators' entry; an entry that is deleted and written again gets another one.
    pub uid: Arc<str>,
    /// Time at which a node first read the entry, in milliseconds since 1970 by that node's clock.
    pub since_unix_ms: u64,
}

/// All zones that are evacuated at one version of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationSet {
    /// Evacuated zones, sorted by name.
    pub zones: Vec<ZoneEvacuation>,
}

impl EvacuationSet {
    /// Returns whether the zone is evacuated.
    #[must_use]
    pub fn contains(&self, zone: &str) -> bool {
        self.get(zone).is_some()
    }

    /// Returns the evacuation of the zone, if it is evacuated.
    #[must_use]
    pub fn get(&self, zone: &str) -> Option<&ZoneEvacuation> {
        self.zones.iter().find(|evacuation| *evacuation.zone == *zone)
    }
}
