//! Metrics of the quotas of tenants.

use std::fmt;
use std::sync::Arc;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::EncodeLabelValue;
use prometheus_client::encoding::LabelValueEncoder;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// Tenant name as a label value, shared to avoid a copy for each request.
#[derive(Clone, Debug, Hash, PartialEq, Eq)]
pub struct TenantLabel(pub Arc<str>);

impl EncodeLabelValue for TenantLabel {
    fn encode(&self, encoder: &mut LabelValueEncoder<'_>) -> fmt::Result {
        self.0.encode(encoder)
    }
}

/// Labels of the counter of quota decisions.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct QuotaLabels {
    /// Tenant of the request.
    pub tenant: TenantLabel,
    /// `granted`, `quota_exceeded` or `quota_unavailable`.
    pub outcome: &'static str,
}

/// Label of a gauge by role.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct QuotaRoleLabels {
    /// `share`: the node's own; `lent`: of that, lent to another; `local`: of that, spent by the node itself; `zone`: borrowed as the leading node of a zone;
    /// `server`: the smallest number for a group that the node serves.
    pub role: &'static str,
}

/// Metrics of the quotas at one node.
#[derive(Debug, Default)]
pub struct QuotaMetrics {
    /// Decisions on requests, by tenant and outcome.
    pub decisions: Family<QuotaLabels, Counter>,
    /// Parts per million of each limit, by role.
    pub parts: Family<QuotaRoleLabels, Gauge>,
    /// Nodes whose share this node borrows as the leading node of its zone.
    pub zone_leases: Gauge,
    /// Groups of tenants whose quota server this node is.
    pub served_groups: Gauge,
    /// Changes of the server that a tenant's requests at this node go to.
    pub server_changes: Counter,
    /// Tokens that the node gave out of its own share while no quota server answered.
    pub local_tokens: Counter,
}

impl QuotaMetrics {
    /// Registers the metrics in a registry.
    pub fn register_in(&self, registry: &mut Registry) {
        registry.register("quota_decisions", "Quota decisions by tenant and outcome", self.decisions.clone());
        registry.register(
            "quota_parts",
            "Parts per million of each limit that the node holds by role",
            self.parts.clone(),
        );
        registry.register(
            "quota_zone_leases",
            "Nodes whose share is borrowed as the leading node of a zone",
            self.zone_leases.clone(),
        );
        registry.register(
            "quota_served_groups",
            "Groups of tenants whose quota server the node is",
            self.served_groups.clone(),
        );
        registry.register(
            "quota_server_changes",
            "Changes of the quota server of a tenant's requests",
            self.server_changes.clone(),
        );
        registry.register(
            "quota_local_tokens",
            "Tokens that the node gave out of its own share while no quota server answered",
            self.local_tokens.clone(),
        );
    }

    /// Counts a decision on a request.
    pub fn count(&self, tenant: &Arc<str>, outcome: &'static str) {
        let labels = QuotaLabels { tenant: TenantLabel(Arc::clone(tenant)), outcome };
        self.decisions.get_or_create(&labels).inc();
    }

    /// Sets the parts held in a role.
    pub fn set_parts(&self, role: &'static str, parts: u32) {
        self.parts.get_or_create(&QuotaRoleLabels { role }).set(i64::from(parts));
    }
}
