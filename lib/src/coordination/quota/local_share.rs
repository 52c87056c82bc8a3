//! Local spending of a node's own share while it is not lent and no quota server answers.

use std::sync::Arc;

use indexmap::IndexMap;
use indexmap::IndexSet;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::coordination::quota::ALL_PARTS;
use crate::coordination::quota::BootTime;
use crate::coordination::quota::allowance::QuotaAllowance;
use crate::coordination::quota::tenant_limits::TenantLimit;
use crate::coordination::quota::tenant_limits::TenantLimits;
use crate::coordination::quota::token_bucket::Taken;
use crate::coordination::quota::token_bucket::TokenBucket;

/// Local bucket of one tenant.
#[derive(Clone, Copy, Debug)]
struct LocalBucket {
    bucket: TokenBucket,
    has_extra: bool,
    /// Time from which the bucket may hold its extra token again, if it has one.
    extra_from: BootTime,
}

/// Token buckets of the parts that this node holds and has not lent.
#[derive(Clone, Debug)]
pub struct LocalShare {
    name: Arc<str>,
    started_at: BootTime,
    allowance: Option<QuotaAllowance>,
    /// Parts held at `advanced_to`.
    parts: u32,
    advanced_to: BootTime,
    /// All nodes that this process has known; it keeps dead ones, since their shares may be in use.
    known_nodes: IndexSet<Arc<str>>,
    buckets: IndexMap<Arc<str>, LocalBucket>,
    /// Whether limits, the allowance or the known nodes changed since the buckets were set up.
    is_outdated: bool,
    granted: u64,
}

impl LocalShare {
    /// Creates the state of a process that has just started.
    #[must_use]
    pub fn new(name: Arc<str>, now: BootTime) -> Self {
        Self {
            name,
            started_at: now,
            allowance: None,
            parts: 0,
            advanced_to: now,
            known_nodes: IndexSet::new(),
            buckets: IndexMap::new(),
            is_outdated: true,
            granted: 0,
        }
    }

    /// Sets what the deployment allows beyond the limits; without it there are no extra tokens.
    pub const fn set_allowance(&mut self, allowance: Option<QuotaAllowance>) {
        self.allowance = allowance;
        self.is_outdated = true;
    }

    /// Adds nodes of the fleet.
    pub fn learn_nodes<'a, I>(&mut self, nodes: I)
    where
        I: IntoIterator<Item = &'a Arc<str>>,
    {
        let count_before = self.known_nodes.len();
        self.known_nodes.extend(nodes.into_iter().map(Arc::clone));
        self.is_outdated |= self.known_nodes.len() > count_before;
    }

    /// Returns whether other nodes of the fleet are known, also if they are dead.
    #[must_use]
    pub fn knows_others(&self) -> bool {
        self.known_nodes.iter().any(|node| *node != self.name)
    }

    /// Notes that the limits of tenants changed.
    pub const fn limits_changed(&mut self) {
        self.is_outdated = true;
    }

    /// Refills the buckets up to `now`, from which on this node holds `parts` that are not lent.
    pub fn advance(&mut self, parts: u32, limits: &TenantLimits, now: BootTime) {
        if self.parts > 0 || parts > 0 {
            self.set_up_buckets(parts, limits);
            // The smaller number, since it is unknown when between the calls the parts changed.
            let refilled = self.parts.min(parts);
            let elapsed = now.saturating_sub(self.advanced_to);
            for held in self.buckets.values_mut() {
                held.bucket.refill(refilled, elapsed);
            }
        }
        self.parts = parts;
        self.advanced_to = now;
    }

    /// Returns the parts held.
    #[must_use]
    pub const fn parts(&self) -> u32 {
        self.parts
    }

    /// Returns the number of tokens given out so far.
    #[must_use]
    pub const fn granted(&self) -> u64 {
        self.granted
    }

    /// Returns whether the bucket of a tenant may ever hold a token.
    #[must_use]
    pub fn serves(&self, tenant: &str) -> bool {
        self.parts > 0 && self.buckets.get(tenant).is_some_and(|held| held.bucket.holds_a_token(self.parts))
    }

    /// Takes tokens of a tenant that this node serves; those that it doesn't get are expected to come again.
    pub fn take(&mut self, tenant: &str, wanted: u32, now: BootTime) -> Taken {
        let Some(held) = self.buckets.get_mut(tenant) else {
            return Taken::default();
        };
        if held.extra_from <= now {
            held.bucket.restore_extra();
        }
        let mut taken = held.bucket.take(wanted, self.parts);
        held.bucket.count_rejected(wanted - taken.granted);
        if taken.granted > 0 {
            held.extra_from = now + self.allowance.map(|allowance| allowance.pause()).unwrap_or_default();
        }
        if held.has_extra {
            taken.retry_after = taken.retry_after.min(held.extra_from.saturating_sub(now));
        }
        self.granted += u64::from(taken.granted);
        taken
    }

    fn set_up_buckets(&mut self, parts: u32, limits: &TenantLimits) {
        if !std::mem::take(&mut self.is_outdated) && self.parts == parts {
            return;
        }
        self.buckets.retain(|tenant, _| limits.limits.contains_key(tenant));
        // An earlier process of this node may have given out its extra token just before this one started.
        let extra_from =
            self.started_at + self.allowance.map(|allowance| allowance.pause()).unwrap_or_default();
        for (tenant, limit) in &limits.limits {
            let has_extra = self.has_extra_token(tenant, *limit, parts);
            let new = || LocalBucket { bucket: TokenBucket::new(*limit), has_extra, extra_from };
            let held = self.buckets.entry(Arc::clone(tenant)).or_insert_with(new);
            held.has_extra = has_extra;
            held.bucket.set_extra(has_extra);
            held.bucket.set_limit(*limit, parts);
        }
    }

    /// Returns whether this node is among those that may hold one token beyond their share of a tenant's limit.
    ///
    /// These are the first of a ranking of all known nodes by hash. A node that knows too few others to account for all
    /// shares would take too early a place, so it has no extra token.
    fn has_extra_token(&self, tenant: &str, limit: TenantLimit, parts: u32) -> bool {
        let Some(allowance) = self.allowance else {
            return false;
        };
        let known = u64::try_from(self.known_nodes.len()).unwrap_or(u64::MAX);
        if known.saturating_mul(u64::from(parts) + 1) < u64::from(ALL_PARTS) {
            return false;
        }
        let seed = xxh3_64_with_seed(tenant.as_bytes(), 0);
        let place = |node: &Arc<str>| (xxh3_64_with_seed(node.as_bytes(), seed), Arc::clone(node));
        let own_place = place(&self.name);
        let before = self.known_nodes.iter().filter(|node| place(node) < own_place).count();
        u32::try_from(before).is_ok_and(|before| before < allowance.extra_tokens(limit))
    }
}
