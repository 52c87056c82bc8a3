//! What callers, upstreams and operators did in a run with tenants; all times count from the start of the run.

use std::sync::Arc;
use std::time::Duration;

use yuccatray_platform_testutils::tenant_entries::TenantLimit;

/// Period in which a key belongs to the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyPeriod {
    /// Tenant of the key.
    pub tenant: Arc<str>,
    /// When the version with the key was stored; `None` for a key that is in no version.
    pub added_at: Option<Duration>,
    /// When the first version without the key was stored.
    pub removed_at: Option<Duration>,
}

/// A request of a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyedCall {
    /// Id of the request.
    pub id: String,
    /// Index of the ingress node.
    pub node: usize,
    /// Index of the key.
    pub key: usize,
    /// When the caller sent it.
    pub sent_at: Duration,
    /// Status of the answer; `None` if there was none.
    pub status: Option<u16>,
}

/// A request that reached an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Id of the request.
    pub id: String,
    /// Index of the node beside the upstream.
    pub node: usize,
    /// Tenant that the request names.
    pub tenant: Option<String>,
    /// Whether the upstream could read a key or other credentials.
    pub has_key: bool,
    /// Whether the upstream was cold.
    pub while_cold: bool,
    /// When it arrived.
    pub at: Duration,
}

/// Period in which a zone is evacuated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Evacuation {
    /// Name of the zone.
    pub zone: &'static str,
    /// When the entry was in the store.
    pub written_at: Duration,
    /// When the entry was about to be deleted.
    pub deleted_at: Duration,
}

/// Period in which nodes can't reach the store, or don't run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outage {
    /// Index of the node; `None` for all.
    pub node: Option<usize>,
    /// When it began.
    pub from: Duration,
    /// When it ended.
    pub until: Duration,
}

/// What the deployment promises.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Time within which a configuration is in force.
    pub config_apply: Duration,
    /// Time within which an evacuation is in force.
    pub evacuation: Duration,
    /// Requests per second that a cold upstream tolerates.
    pub cold_per_s: u32,
}

/// Everything that happened in a run.
#[derive(Clone, Debug)]
pub struct TenantRecord {
    /// What the deployment promises.
    pub bounds: Bounds,
    /// Zone of each node.
    pub zones: Vec<&'static str>,
    /// Limits by the name of the tenant.
    pub limits: Vec<(Arc<str>, TenantLimit)>,
    /// Keys that callers sent.
    pub keys: Vec<KeyPeriod>,
    /// Requests of callers.
    pub calls: Vec<KeyedCall>,
    /// Requests that reached upstreams, apart from health checks.
    pub arrivals: Vec<Arrival>,
    /// Evacuations.
    pub evacuations: Vec<Evacuation>,
    /// Outages.
    pub outages: Vec<Outage>,
}

impl TenantRecord {
    /// Returns the longest time without interruption for which a node was in touch with the store in a period.
    #[must_use]
    pub fn longest_in_touch(&self, node: usize, from: Duration, until: Duration) -> Duration {
        let concerns_node = |outage: &&Outage| outage.node.is_none_or(|of| of == node);
        let mut outages: Vec<&Outage> = self.outages.iter().filter(concerns_node).collect();
        outages.sort_by_key(|outage| outage.from);
        let mut longest = Duration::ZERO;
        let mut in_touch_since = from;
        for outage in outages.into_iter().filter(|outage| outage.until > from && outage.from < until) {
            longest = longest.max(outage.from.saturating_sub(in_touch_since));
            in_touch_since = in_touch_since.max(outage.until);
        }
        longest.max(until.saturating_sub(in_touch_since))
    }
}
