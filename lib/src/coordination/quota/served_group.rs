//! One group of tenants at its quota server: the parts held for it, and a token bucket for each tenant.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;

use crate::coordination::quota::BootTime;
use crate::coordination::quota::promises::LeaseBook;
use crate::coordination::quota::recent_demand::RecentDemand;
use crate::coordination::quota::tenant_limits::Group;
use crate::coordination::quota::tenant_limits::TenantLimit;
use crate::coordination::quota::tenant_limits::TenantLimits;
use crate::coordination::quota::tenant_limits::group_of;
use crate::coordination::quota::token_bucket::Taken;
use crate::coordination::quota::token_bucket::TokenBucket;

/// Time after parts came back during which empty buckets don't mean that a limit is exceeded.
const WARM_UP: Duration = Duration::from_secs(1);

/// Tokens that one ask wants.
#[derive(Clone, Debug)]
pub struct Wanted {
    /// Name of the tenant.
    pub tenant: Arc<str>,
    /// Tokens.
    pub tokens: u32,
    /// Requests that the client has rejected by itself.
    pub rejected: u32,
    /// Limit of the tenant.
    pub limit: TenantLimit,
    /// Revision of the configuration that contains the limit.
    pub revision: u64,
}

#[derive(Clone, Copy, Debug)]
struct TenantBucket {
    bucket: TokenBucket,
    revision: u64,
}

/// A group of tenants that a quota server serves.
#[derive(Clone, Debug)]
pub struct ServedGroup {
    group: Group,
    leases: LeaseBook,
    buckets: IndexMap<Arc<str>, TenantBucket>,
    /// Time up to which the buckets have been refilled.
    advanced_to: BootTime,
    /// When the number of parts last rose from zero.
    held_since: Option<BootTime>,
    /// Tokens that were lately asked for.
    pub demand: RecentDemand,
}

impl ServedGroup {
    /// Creates a group without parts, with an empty bucket for each of its tenants.
    #[must_use]
    pub fn new(group: Group, limits: &TenantLimits, now: BootTime) -> Self {
        let mut served = Self {
            group,
            leases: LeaseBook::default(),
            buckets: IndexMap::new(),
            advanced_to: now,
            held_since: None,
            demand: RecentDemand::default(),
        };
        served.set_limits(limits, now);
        served
    }

    /// Applies the limits of a configuration.
    pub fn set_limits(&mut self, limits: &TenantLimits, now: BootTime) {
        self.advance(now);
        self.buckets
            .retain(|tenant, held| held.revision > limits.revision || limits.limits.contains_key(tenant));
        for (tenant, limit) in &limits.limits {
            if group_of(tenant) == self.group {
                self.apply_limit(tenant, *limit, limits.revision);
            }
        }
    }

    /// Adds a lease of parts from the leading node of a zone.
    pub fn add_lease(
        &mut self,
        lender: &Arc<str>,
        parts: u32,
        asked_at: BootTime,
        duration: Duration,
        now: BootTime,
    ) {
        self.advance(now);
        self.leases.add(lender, parts, asked_at, duration);
        if self.leases.at(now) > 0 {
            self.held_since.get_or_insert(now);
        }
    }

    /// Takes tokens for an ask; `None` while the group has no parts.
    pub fn take(&mut self, wanted: &Wanted, now: BootTime) -> Option<Taken> {
        self.advance(now);
        self.apply_limit(&wanted.tenant, wanted.limit, wanted.revision);
        let parts = self.leases.at(now);
        if parts == 0 {
            return None;
        }
        let is_warming = self.is_warming(now);
        let held = self.buckets.get_mut(&wanted.tenant)?;
        held.bucket.count_rejected(wanted.rejected);
        let taken = held.bucket.take(wanted.tokens, parts);
        if !is_warming {
            held.bucket.count_rejected(wanted.tokens - taken.granted);
        }
        Some(taken)
    }

    /// Returns whether the parts came back so lately that the buckets had no time to fill.
    #[must_use]
    pub fn is_warming(&self, now: BootTime) -> bool {
        self.held_since.is_none_or(|since| since + WARM_UP > now)
    }

    /// Returns the parts held at `now`.
    #[must_use]
    pub fn parts(&self, now: BootTime) -> u32 {
        self.leases.at(now)
    }

    /// Refills the buckets up to `now`, with the parts that were held at each time since the last call.
    pub fn advance(&mut self, now: BootTime) {
        while self.advanced_to < now {
            let parts = self.leases.at(self.advanced_to);
            let until = self.leases.next_end(self.advanced_to).unwrap_or(now).min(now);
            let elapsed = until.saturating_sub(self.advanced_to);
            let parts_after = self.leases.at(until);
            for held in self.buckets.values_mut() {
                held.bucket.refill(parts, elapsed);
                held.bucket.cut(parts_after);
            }
            if parts_after == 0 {
                self.held_since = None;
            }
            self.advanced_to = until;
        }
        self.leases.expire(now);
    }

    fn apply_limit(&mut self, tenant: &Arc<str>, limit: TenantLimit, revision: u64) {
        let parts = self.leases.at(self.advanced_to);
        match self.buckets.get_mut(tenant) {
            Some(held) if held.revision >= revision => {}
            Some(held) => {
                held.bucket.set_limit(limit, parts);
                held.revision = revision;
            }
            None => {
                let held = TenantBucket { bucket: TokenBucket::new(limit), revision };
                self.buckets.insert(Arc::clone(tenant), held);
            }
        }
    }
}
