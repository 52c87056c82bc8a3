//! What the whole fleet has applied, put together by the lease holder from the zones' reports.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use tokio::time::Instant;
use yuccatray_proto::peer_v1 as wire;

use crate::protocol::published::LaggingNode;

/// Silence after which nothing is known of a zone any more.
const SILENCE: Duration = Duration::from_secs(75);

/// Time between two reports of a zone when nothing changes.
const REFRESH_INTERVAL: Duration = Duration::from_secs(30);

/// A zone by region and name.
type ZoneKey = (String, String);

#[derive(Debug)]
struct ZoneApplied {
    reported_nodes: u32,
    services: IndexMap<String, wire::ServiceApplied>,
    heard: Instant,
}

/// How far one revision is.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AppliedCount {
    /// Nodes that hold the revision or a later one.
    pub applied: u32,
    /// Nodes that hold an earlier one.
    pub lagging: u32,
    /// Some of those, with the revision that they hold.
    pub lagging_named: Vec<(Arc<str>, u64)>,
}

/// The zones' reports as the holder of the lease keeps them.
#[derive(Debug, Default)]
pub struct FleetApplied {
    zones: IndexMap<ZoneKey, ZoneApplied>,
    since: IndexMap<(Arc<str>, Arc<str>), u64>,
}

impl FleetApplied {
    /// Takes in a zone's report; false when the whole report is needed first.
    pub fn take(&mut self, report: &wire::ZoneReport, now: Instant) -> bool {
        let key = (report.region.clone(), report.zone.clone());
        if !report.complete && !self.zones.contains_key(&key) {
            return false;
        }
        let held = self.zones.entry(key).or_insert_with(|| ZoneApplied {
            reported_nodes: 0,
            services: IndexMap::new(),
            heard: now,
        });
        if report.complete {
            held.services.clear();
        }
        held.reported_nodes = report.reported_nodes;
        held.heard = now;
        held.services.extend(report.services.iter().map(|said| (said.service.clone(), said.clone())));
        true
    }

    /// Forgets zones that have been silent for long, so that their nodes count as unknown.
    pub fn expire(&mut self, now: Instant) {
        self.zones.retain(|_, zone| now - zone.heard < SILENCE);
    }

    /// How far a service's revision is, as far as reports say.
    #[must_use]
    pub fn count(&self, service: &str, revision: u64) -> AppliedCount {
        let mut count = AppliedCount::default();
        for zone in self.zones.values() {
            let Some(said) = zone.services.get(service) else {
                continue;
            };
            for held in &said.counts {
                if held.revision >= revision {
                    count.applied += held.nodes;
                } else {
                    count.lagging += held.nodes;
                }
            }
            let behind = said.lagging.iter().filter(|node| node.revision < revision);
            count.lagging_named.extend(behind.map(|node| (Arc::from(node.name.as_str()), node.revision)));
        }
        count
    }

    /// Names the lagging nodes of a service with the time at which each was first seen lagging.
    pub fn lagging_since(
        &mut self,
        service: &Arc<str>,
        named: &[(Arc<str>, u64)],
        unix_ms: u64,
    ) -> Vec<LaggingNode> {
        self.since
            .retain(|(about, node), _| about != service || named.iter().any(|(lagging, _)| lagging == node));
        let nodes = named.iter().map(|(node, revision)| {
            let key = (Arc::clone(service), Arc::clone(node));
            let since_unix_ms = *self.since.entry(key).or_insert(unix_ms);
            LaggingNode { node: Arc::clone(node), revision: *revision, since_unix_ms }
        });
        nodes.collect()
    }
}

/// A collector's record of what it told the holder, so that only changes travel.
#[derive(Debug, Default)]
pub struct ZoneReporter {
    holder: Option<Arc<str>>,
    told: IndexMap<String, wire::ServiceApplied>,
    told_nodes: u32,
    sent: Option<Instant>,
}

impl ZoneReporter {
    /// The report that is due to the holder, if any: only what changed since the last one.
    pub fn due(
        &mut self,
        holder: &Arc<str>,
        summary: &wire::ZoneReport,
        now: Instant,
    ) -> Option<wire::ZoneReport> {
        if self.holder.as_ref() != Some(holder) {
            *self = Self { holder: Some(Arc::clone(holder)), ..Self::default() };
        }
        let complete = self.sent.is_none();
        let changed = summary.services.iter().filter(|said| self.told.get(&said.service) != Some(*said));
        let services: Vec<wire::ServiceApplied> = changed.cloned().collect();
        let quiet = services.is_empty() && self.told_nodes == summary.reported_nodes;
        if quiet && self.sent.is_some_and(|sent| now - sent < REFRESH_INTERVAL) {
            return None;
        }
        Some(wire::ZoneReport { services, complete, ..summary.clone() })
    }

    /// The holder took the report.
    pub fn taken(&mut self, report: &wire::ZoneReport, now: Instant) {
        self.told.extend(report.services.iter().map(|said| (said.service.clone(), said.clone())));
        self.told_nodes = report.reported_nodes;
        self.sent = Some(now);
    }

    /// The holder lacks the report's base, or there was no answer: the next one is whole.
    pub fn refused(&mut self) {
        self.told.clear();
        self.sent = None;
    }
}
