//! Configuration revisions applied across the fleet, aggregated by the lease holder from zone reports.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use tokio::time::Instant;
use yuccatray_proto::peer_v1 as wire;

use crate::protocol::published::LaggingNode;

/// Age after which a zone's last report is discarded.
const ZONE_REPORT_TTL: Duration = Duration::from_secs(75);

/// Time after which a zone reports again although nothing has changed.
const REFRESH_INTERVAL: Duration = Duration::from_secs(30);

/// Region and name of a zone.
type ZoneKey = (String, String);

#[derive(Debug)]
struct ZoneApplied {
    reported_nodes: u32,
    services: IndexMap<String, wire::ServiceApplied>,
    received_at: Instant,
}

/// Progress of one revision, in numbers of nodes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RevisionProgress {
    /// Nodes that have applied the revision or a later one.
    pub applied: u32,
    /// Nodes that have applied only an earlier one.
    pub lagging: u32,
    /// Names of some of the lagging nodes, with the revision that each has applied.
    pub named_lagging_nodes: Vec<(Arc<str>, u64)>,
}

/// Latest report of each zone, as kept by the lease holder.
#[derive(Debug, Default)]
pub struct FleetAppliedRevisions {
    zones: IndexMap<ZoneKey, ZoneApplied>,
    lagging_since_unix_ms: IndexMap<(Arc<str>, Arc<str>), u64>,
}

impl FleetAppliedRevisions {
    /// Records a zone's report; returns false if a complete report is needed first.
    pub fn record_report(&mut self, report: &wire::ZoneReport, now: Instant) -> bool {
        let key = (report.region.clone(), report.zone.clone());
        if !report.complete && !self.zones.contains_key(&key) {
            return false;
        }
        let held = self.zones.entry(key).or_insert_with(|| ZoneApplied {
            reported_nodes: 0,
            services: IndexMap::new(),
            received_at: now,
        });
        if report.complete {
            held.services.clear();
        }
        held.reported_nodes = report.reported_nodes;
        held.received_at = now;
        held.services
            .extend(report.services.iter().map(|applied| (applied.service.clone(), applied.clone())));
        true
    }

    /// Removes zones without a recent report, so that their nodes count as unknown.
    pub fn expire(&mut self, now: Instant) {
        self.zones.retain(|_, zone| now - zone.received_at < ZONE_REPORT_TTL);
    }

    /// Returns the progress of a service's revision according to the zone reports.
    #[must_use]
    pub fn count(&self, service: &str, revision: u64) -> RevisionProgress {
        let mut count = RevisionProgress::default();
        for zone in self.zones.values() {
            let Some(applied) = zone.services.get(service) else {
                continue;
            };
            for group in &applied.counts {
                if group.revision >= revision {
                    count.applied += group.nodes;
                } else {
                    count.lagging += group.nodes;
                }
            }
            let lagging = applied.lagging.iter().filter(|node| node.revision < revision);
            count
                .named_lagging_nodes
                .extend(lagging.map(|node| (Arc::from(node.name.as_str()), node.revision)));
        }
        count
    }

    /// Returns the named lagging nodes of a service, each with the time since which it is known to lag.
    ///
    /// `unix_ms` is the current time, which applies to nodes that were not lagging before.
    pub fn track_lagging_since(
        &mut self,
        service: &Arc<str>,
        named: &[(Arc<str>, u64)],
        unix_ms: u64,
    ) -> Vec<LaggingNode> {
        self.lagging_since_unix_ms.retain(|(lagging_service, node), _| {
            lagging_service != service || named.iter().any(|(lagging, _)| lagging == node)
        });
        let nodes = named.iter().map(|(node, revision)| {
            let key = (Arc::clone(service), Arc::clone(node));
            let since_unix_ms = *self.lagging_since_unix_ms.entry(key).or_insert(unix_ms);
            LaggingNode { node: Arc::clone(node), revision: *revision, since_unix_ms }
        });
        nodes.collect()
    }
}

/// Record of what a zone's collector has reported to the lease holder, so that only changes are sent.
#[derive(Debug, Default)]
pub struct ZoneReporter {
    holder: Option<Arc<str>>,
    reported_services: IndexMap<String, wire::ServiceApplied>,
    reported_nodes: u32,
    last_report_at: Option<Instant>,
}

impl ZoneReporter {
    /// Returns the report due to the lease holder, if any, with only the changes since the last one.
    pub fn due_report(
        &mut self,
        holder: &Arc<str>,
        summary: &wire::ZoneReport,
        now: Instant,
    ) -> Option<wire::ZoneReport> {
        if self.holder.as_ref() != Some(holder) {
            *self = Self { holder: Some(Arc::clone(holder)), ..Self::default() };
        }
        let complete = self.last_report_at.is_none();
        let changed = summary
            .services
            .iter()
            .filter(|applied| self.reported_services.get(&applied.service) != Some(*applied));
        let services: Vec<wire::ServiceApplied> = changed.cloned().collect();
        let unchanged = services.is_empty() && self.reported_nodes == summary.reported_nodes;
        if unchanged
            && self.last_report_at.is_some_and(|last_report_at| now - last_report_at < REFRESH_INTERVAL)
        {
            return None;
        }
        Some(wire::ZoneReport { services, complete, ..summary.clone() })
    }

    /// Records that the lease holder accepted the report.
    pub fn mark_accepted(&mut self, report: &wire::ZoneReport, now: Instant) {
        self.reported_services
            .extend(report.services.iter().map(|applied| (applied.service.clone(), applied.clone())));
        self.reported_nodes = report.reported_nodes;
        self.last_report_at = Some(now);
    }

    /// Makes the next report complete, because the lease holder lacks an earlier one or did not answer.
    pub fn require_complete_report(&mut self) {
        self.reported_services.clear();
        self.last_report_at = None;
    }
}
