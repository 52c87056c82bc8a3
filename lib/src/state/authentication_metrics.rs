//! Metrics of authentications, by outcome and by version of the configuration.

use std::sync::Arc;

use arc_swap::ArcSwap;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;

use crate::state::metrics::ServiceLabel;

/// Number of versions whose counts are exported; those of earlier versions are removed.
const MAX_VERSIONS: usize = 4;

/// Labels of the counter of authentications.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct AuthenticationLabels {
    /// How the request came to be accepted, or why it was refused.
    pub outcome: &'static str,
    /// Version of the configuration that decided.
    pub version: ServiceLabel,
}

/// Counts of authentications.
#[derive(Debug, Default)]
pub struct AuthenticationMetrics {
    authentications: Family<AuthenticationLabels, Counter>,
    /// Versions with counts, the earliest first.
    versions: ArcSwap<Vec<Arc<str>>>,
}

impl AuthenticationMetrics {
    /// Registers the metrics.
    pub fn register_in(&self, registry: &mut Registry) {
        let authentications = self.authentications.clone();
        registry.register(
            "authentications",
            "Requests by how their tenant was found or why they were refused, and by configuration version",
            authentications,
        );
    }

    /// Counts one authentication; `outcomes` are all outcomes that there are.
    pub fn count(&self, outcome: &'static str, version: &Arc<str>, outcomes: &[&'static str]) {
        if !self.versions.load().contains(version) {
            self.add_version(version, outcomes);
        }
        let version = ServiceLabel(Arc::clone(version));
        self.authentications.get_or_create(&AuthenticationLabels { outcome, version }).inc();
    }

    /// Adds a version, and removes the counts of the earliest one if there are too many.
    fn add_version(&self, version: &Arc<str>, outcomes: &[&'static str]) {
        let previous = self.versions.rcu(|versions| {
            let others = versions.iter().filter(|other| *other != version);
            let mut updated: Vec<Arc<str>> = others.cloned().collect();
            updated.push(Arc::clone(version));
            updated.drain(..updated.len().saturating_sub(MAX_VERSIONS));
            updated
        });
        let current = self.versions.load();
        for removed in previous.iter().filter(|version| !current.contains(version)) {
            for &outcome in outcomes {
                let version = ServiceLabel(Arc::clone(removed));
                self.authentications.remove(&AuthenticationLabels { outcome, version });
            }
        }
    }
}
