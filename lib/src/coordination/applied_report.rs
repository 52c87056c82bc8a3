//! How a node tells its zone's collector what it has applied, and what the collector makes of it.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use tokio::time::Instant;
use yuccatray_proto::peer_v1 as wire;

use crate::state::config_table::ConfigSnapshot;
use crate::state::config_table::revisions_digest;

/// Time between two reports when nothing changes.
const REFRESH_INTERVAL: Duration = Duration::from_mins(1);

/// Time for an answer before a report is sent again.
const RESEND_INTERVAL: Duration = Duration::from_secs(1);

/// Silence after which nothing is known of a node any more.
const SILENCE: Duration = Duration::from_secs(150);

/// Lagging nodes named for one service of a zone.
const MAX_LAGGING_NAMED: usize = 8;

/// A node's side: sends what changed until the collector's digest agrees.
#[derive(Debug, Default)]
pub struct AppliedReporter {
    collector: Option<Arc<str>>,
    agreed: IndexMap<Arc<str>, u64>,
    agreed_digest: Option<u64>,
    sent: Option<(u64, Instant)>,
    whole: bool,
}

/// The revisions that a report carries.
#[derive(Clone, Debug, PartialEq)]
pub struct AppliedNews {
    /// Services and their revisions.
    pub revisions: Vec<wire::Revision>,
    /// Whether these are all of them.
    pub complete: bool,
}

impl AppliedReporter {
    /// The report that is due to the collector, if any.
    pub fn due(
        &mut self,
        collector: &Arc<str>,
        config: &ConfigSnapshot,
        now: Instant,
    ) -> Option<AppliedNews> {
        if self.collector.as_ref() != Some(collector) {
            *self = Self { collector: Some(Arc::clone(collector)), whole: true, ..Self::default() };
        }
        let digest = digest_of(config);
        let interval = if self.agreed_digest == Some(digest) { REFRESH_INTERVAL } else { RESEND_INTERVAL };
        if self.sent.is_some_and(|(sent, at)| sent == digest && now - at < interval) {
            return None;
        }
        self.sent = Some((digest, now));
        let changed = config.iter().filter(|(service, published)| {
            self.whole || self.agreed.get(*service) != Some(&published.revision)
        });
        let revisions = changed.map(|(service, published)| wire::Revision {
            service: service.to_string(),
            revision: published.revision,
        });
        Some(AppliedNews { revisions: revisions.collect(), complete: self.whole })
    }

    /// The collector answered the report about `digest`.
    pub fn answered(&mut self, collector: &str, digest: u64, agrees: bool, config: &ConfigSnapshot) {
        if self.collector.as_deref() != Some(collector) || digest != digest_of(config) {
            return;
        }
        self.whole = !agrees;
        if agrees {
            self.agreed = config.iter().map(|(name, held)| (Arc::clone(name), held.revision)).collect();
            self.agreed_digest = Some(digest);
        } else {
            self.agreed_digest = None;
            self.sent = None;
        }
    }
}

#[derive(Debug)]
struct NodeApplied {
    incarnation: u64,
    revisions: IndexMap<Arc<str>, u64>,
    heard: Instant,
}

/// The collector's side: what each node of the zone has applied.
#[derive(Debug, Default)]
pub struct ZoneCollector {
    nodes: IndexMap<Arc<str>, NodeApplied>,
}

impl ZoneCollector {
    /// Takes in a report; whether the record now agrees with its digest.
    pub fn take(&mut self, report: &wire::Datagram, now: Instant) -> bool {
        let name: Arc<str> = Arc::from(report.name.as_str());
        let held = self.nodes.entry(name).or_insert_with(|| NodeApplied {
            incarnation: report.incarnation,
            revisions: IndexMap::new(),
            heard: now,
        });
        if held.incarnation > report.incarnation {
            return false;
        }
        if report.complete || held.incarnation < report.incarnation {
            held.revisions.clear();
        }
        held.incarnation = report.incarnation;
        held.heard = now;
        for said in &report.revisions {
            held.revisions.insert(Arc::from(said.service.as_str()), said.revision);
        }
        revisions_digest(held.revisions.iter().map(|(service, revision)| (service.as_ref(), *revision)))
            == report.config_digest
    }

    /// Notes what the collector itself has applied.
    pub fn take_own(&mut self, name: &Arc<str>, incarnation: u64, config: &ConfigSnapshot, now: Instant) {
        let revisions = config.iter().map(|(service, held)| (Arc::clone(service), held.revision)).collect();
        self.nodes.insert(Arc::clone(name), NodeApplied { incarnation, revisions, heard: now });
    }

    /// Forgets nodes that have been silent for long.
    pub fn expire(&mut self, now: Instant) {
        self.nodes.retain(|_, held| now - held.heard < SILENCE);
    }

    /// What the zone's live nodes have applied of every service in `config`.
    ///
    /// A node's record outlives doubts about the node, which does not report again when they end.
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
