//! Decisions on evacuated zones: what to publish, which upstreams are excluded, and what a gate does.

use std::sync::Arc;

use indexmap::IndexMap;

use crate::protocol::evacuation::EVACUATIONS_NAME;
use crate::protocol::evacuation::EvacuationSet;
use crate::protocol::evacuation::ZoneEvacuation;
use crate::protocol::object::Object;
use crate::protocol::published::Published;

/// Bits of a revision that hold the version of the store; the bits above them hold the epoch.
const VERSION_BITS: u32 = 48;

/// Returns the revision of the set that was read at a version of the store.
///
/// Versions are given out again after a restore of the store, so the epoch comes first. Numbers beyond the range
/// of their part count as its largest one.
#[must_use]
pub fn evacuation_revision(epoch: u64, version: u64) -> u64 {
    let max_epoch = u64::MAX >> VERSION_BITS;
    let max_version = u64::MAX >> (u64::BITS - VERSION_BITS);
    (epoch.min(max_epoch) << VERSION_BITS) | version.min(max_version)
}

/// Evacuated zones as this node itself has read them from the store.
#[derive(Clone, Debug, Default)]
pub struct EvacuationView {
    revision: u64,
    /// Identities of the operators' entries, by zone.
    entries: IndexMap<Arc<str>, Arc<str>>,
}

impl EvacuationView {
    /// Creates a view of a listing as of a version of the store.
    #[must_use]
    pub fn listed(objects: &[Object], epoch: u64, version: u64) -> Self {
        let mut view = Self { revision: evacuation_revision(epoch, version), entries: IndexMap::new() };
        for object in objects {
            view.record_change(object, false, epoch);
        }
        view
    }

    /// Records a written or deleted entry.
    pub fn record_change(&mut self, object: &Object, deleted: bool, epoch: u64) {
        self.advance(epoch, object.version);
        if deleted {
            self.entries.swap_remove(&object.name);
        } else {
            self.entries.insert(Arc::clone(&object.name), Arc::clone(&object.uid));
        }
    }

    /// Records that the view is complete up to a version of the store.
    pub fn advance(&mut self, epoch: u64, version: u64) {
        self.revision = self.revision.max(evacuation_revision(epoch, version));
    }

    /// Returns the publication of this view, or `None` if the held one has the same zones or a later revision.
    ///
    /// An unchanged set keeps its revision, since each new revision is passed on to all nodes. A zone that stays
    /// evacuated keeps the time since when it is.
    #[must_use]
    pub fn publication(&self, held: Option<&Published>, now_unix_ms: u64) -> Option<Published> {
        let held_revision = held.map_or(0, |held| held.revision);
        let held_zones = held.and_then(|held| held.evacuations.as_ref()).map_or(&[][..], |held| &held.zones);
        if self.revision <= held_revision || self.has_same_entries(held_zones) {
            return None;
        }
        let since_unix_ms = |zone: &str, uid: &str| {
            let known = held_zones.iter().find(|held| *held.zone == *zone && *held.uid == *uid);
            known.map_or(now_unix_ms, |held| held.since_unix_ms)
        };
        let mut zones: Vec<ZoneEvacuation> = self
            .entries
            .iter()
            .map(|(zone, uid)| ZoneEvacuation {
                zone: Arc::clone(zone),
                uid: Arc::clone(uid),
                since_unix_ms: since_unix_ms(zone, uid),
            })
            .collect();
        zones.sort_by(|one, other| one.zone.cmp(&other.zone));
        Some(Published {
            service: Arc::from(EVACUATIONS_NAME),
            revision: self.revision,
            epoch: 0,
            config: None,
            routes: None,
            evacuations: Some(EvacuationSet { zones }),
        })
    }

    fn has_same_entries(&self, held: &[ZoneEvacuation]) -> bool {
        let is_known =
            |held: &ZoneEvacuation| self.entries.get(&held.zone).is_some_and(|uid| *uid == held.uid);
        self.entries.len() == held.len() && held.iter().all(is_known)
    }
}

/// Change of a gate's admission when the evacuations change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GateChange {
    /// Reject new and queued calls as not executed; running calls finish.
    Close,
    /// Accept calls again; the upstream may have become cold meanwhile.
    Reopen,
}

/// Returns what a gate has to change when its zone is evacuated or taken back.
#[must_use]
pub const fn gate_change(was_evacuated: bool, is_evacuated: bool) -> Option<GateChange> {
    match (was_evacuated, is_evacuated) {
        (false, true) => Some(GateChange::Close),
        (true, false) => Some(GateChange::Reopen),
        (true, true) | (false, false) => None,
    }
}

/// Returns whether a call may be sent to an upstream of the zone.
#[must_use]
pub fn may_send_to(zone: &str, evacuations: Option<&EvacuationSet>) -> bool {
    evacuations.is_none_or(|evacuations| !evacuations.contains(zone))
}

/// Returns whether a service has upstreams, and all of them are in evacuated zones.
///
/// `zones` are the zones of the upstreams that serve it.
pub fn is_fully_evacuated<'a, I>(zones: I, evacuations: &EvacuationSet) -> bool
where
    I: IntoIterator<Item = &'a str>,
{
    let mut zones = zones.into_iter().peekable();
    zones.peek().is_some() && zones.all(|zone| evacuations.contains(zone))
}
