//! Reports of applied configuration revisions from a node to its zone's collector, and their summary.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use tokio::time::Instant;
use yuccatray_proto::peer_v1 as wire;

use crate::state::config_table::ConfigSnapshot;
use crate::state::config_table::revisions_digest;

/// Time after which a node reports again although nothing has changed.
const REFRESH_INTERVAL: Duration = Duration::from_mins(1);

/// Time without an acknowledgement after which a report is sent again.
const RESEND_INTERVAL: Duration = Duration::from_secs(1);

/// Age after which a node's last report is discarded.
const NODE_REPORT_TTL: Duration = Duration::from_secs(150);

/// Maximum number of lagging nodes named for one service of a zone.
const MAX_LAGGING_NAMED: usize = 8;

/// The node's side: sends changed revisions until the collector confirms that its digest matches.
#[derive(Debug, Default)]
pub struct AppliedReporter {
    collector: Option<Arc<str>>,
    acknowledged: IndexMap<Arc<str>, u64>,
    acknowledged_digest: Option<u64>,
    last_sent: Option<(u64, Instant)>,
    send_complete: bool,
}

/// Revisions in one report.
#[derive(Clone, Debug, PartialEq)]
pub struct AppliedReport {
    /// Applied revision of each service.
    pub revisions: Vec<wire::Revision>,
    /// Whether the report covers every service, rather than only changes.
    pub complete: bool,
}

impl AppliedReporter {
    /// Returns the report due to the collector, if any.
    pub fn due_report(
        &mut self,
        collector: &Arc<str>,
        config: &ConfigSnapshot,
        now: Instant,
    ) -> Option<AppliedReport> {
        if self.collector.as_ref() != Some(collector) {
            *self = Self { collector: Some(Arc::clone(collector)), send_complete: true, ..Self::default() };
        }
        let digest = digest_of(config);
        let interval =
            if self.acknowledged_digest == Some(digest) { REFRESH_INTERVAL } else { RESEND_INTERVAL };
        if self.last_sent.is_some_and(|(sent_digest, at)| sent_digest == digest && now - at < interval) {
            return None;
        }
        self.last_sent = Some((digest, now));
        let changed = config.iter().filter(|(service, published)| {
            self.send_complete || self.acknowledged.get(*service) != Some(&published.revision)
        });
        let revisions = changed.map(|(service, published)| wire::Revision {
            service: service.to_string(),
            revision: published.revision,
        });
        Some(AppliedReport { revisions: revisions.collect(), complete: self.send_complete })
    }

    /// Processes the collector's answer to the report on `digest`; `agrees` states whether digests match.
    pub fn handle_ack(&mut self, collector: &str, digest: u64, agrees: bool, config: &ConfigSnapshot) {
        if self.collector.as_deref() != Some(collector) || digest != digest_of(config) {
            return;
        }
        self.send_complete = !agrees;
        if agrees {
            self.acknowledged = config.iter().map(|(name, held)| (Arc::clone(name), held.revision)).collect();
            self.acknowledged_digest = Some(digest);
        } else {
            self.acknowledged_digest = None;
            self.last_sent = None;
        }
    }
}

#[derive(Debug)]
struct NodeApplied {
    incarnation: u64,
    revisions: IndexMap<Arc<str>, u64>,
    received_at: Instant,
}

/// The collector's side: revisions applied by each node of the zone.
#[derive(Debug, Default)]
pub struct ZoneCollector {
    nodes: IndexMap<Arc<str>, NodeApplied>,
}

impl ZoneCollector {
    /// Records a node's report; returns whether the recorded revisions match the report's digest.
    pub fn record_report(&mut self, report: &wire::Datagram, now: Instant) -> bool {
        let name: Arc<str> = Arc::from(report.name.as_str());
        let held = self.nodes.entry(name).or_insert_with(|| NodeApplied {
            incarnation: report.incarnation,
            revisions: IndexMap::new(),
            received_at: now,
        });
        if held.incarnation > report.incarnation {
            return false;
        }
        if report.complete || held.incarnation < report.incarnation {
            held.revisions.clear();
        }
        held.incarnation = report.incarnation;
        held.received_at = now;
        for applied in &report.revisions {
            held.revisions.insert(Arc::from(applied.service.as_str()), applied.revision);
        }
        revisions_digest(held.revisions.iter().map(|(service, revision)| (service.as_ref(), *revision)))
            == report.config_digest
    }

    /// Records the revisions applied by the collector's own node.
    pub fn record_own(&mut self, name: &Arc<str>, incarnation: u64, config: &ConfigSnapshot, now: Instant) {
        let revisions = config.iter().map(|(service, held)| (Arc::clone(service), held.revision)).collect();
        self.nodes.insert(Arc::clone(name), NodeApplied { incarnation, revisions, received_at: now });
    }

    /// Removes nodes without a recent report.
    pub fn expire(&mut self, now: Instant) {
        self.nodes.retain(|_, held| now - held.received_at < NODE_REPORT_TTL);
    }

    /// Returns the revisions that the zone's live nodes have applied, for every service in `config`.
    ///
    /// Nodes that are not live are only left out, not removed: a node whose suspicion was refuted does not
    /// report again.
    #[must_use]
    pub fn summary<F>(
        &self,
        region: &str,
        zone: &str,
        config: &ConfigSnapshot,
        is_live: F,
    ) -> wire::ZoneReport
    where
        F: Fn(&str) -> bool,
    {
        let live: Vec<(&Arc<str>, &NodeApplied)> =
            self.nodes.iter().filter(|(name, _)| is_live(name)).collect();
        let services = config.iter().map(|(service, held)| service_applied(&live, service, held.revision));
        wire::ZoneReport {
            region: region.to_owned(),
            zone: zone.to_owned(),
            services: services.collect(),
            reported_nodes: u32::try_from(live.len()).unwrap_or(u32::MAX),
            complete: true,
        }
    }
}

fn service_applied(
    nodes: &[(&Arc<str>, &NodeApplied)],
    service: &Arc<str>,
    latest: u64,
) -> wire::ServiceApplied {
    let mut counts: IndexMap<u64, u32> = IndexMap::new();
    let mut lagging = Vec::new();
    for (name, node) in nodes {
        let revision = node.revisions.get(service).copied().unwrap_or(0);
        *counts.entry(revision).or_default() += 1;
        if revision < latest && lagging.len() < MAX_LAGGING_NAMED {
            lagging.push(wire::LaggingNode { name: name.to_string(), revision });
        }
    }
    counts.sort_unstable_keys();
    let counts = counts.into_iter().map(|(revision, nodes)| wire::RevisionCount { revision, nodes });
    wire::ServiceApplied { service: service.to_string(), counts: counts.collect(), lagging }
}

fn digest_of(config: &ConfigSnapshot) -> u64 {
    revisions_digest(config.iter().map(|(service, held)| (service.as_ref(), held.revision)))
}
